#pragma once

#include "contracts/domain_timing.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a DomainTiming. Build() returns nullopt and sets aReason if a lease,
 * the reclaim time or the revoke time is not positive, or the evacuate time is
 * too short. */
class DomainTimingBuilder
{
public:
  /** Leaves the start window, and time for two confirmations of the evacuated
   * data centres. */
  static constexpr Milliseconds kMinEvacuateTime{ 4000 };

  DomainTimingBuilder& HolderLease(Milliseconds aHolderLease);
  DomainTimingBuilder& WorkerLease(Milliseconds aWorkerLease);
  DomainTimingBuilder& RestartTime(Milliseconds aRestartTime);
  DomainTimingBuilder& StopTime(Milliseconds aStopTime);
  DomainTimingBuilder& ReclaimTime(Milliseconds aReclaimTime);
  DomainTimingBuilder& RevokeTime(Milliseconds aRevokeTime);
  /** A time below kMinEvacuateTime is refused. */
  DomainTimingBuilder& EvacuateTime(std::optional<Milliseconds> aEvacuateTime);
  DomainTimingBuilder& FinalJobRetention(Milliseconds aFinalJobRetention);
  DomainTimingBuilder& RemoteSlowdown(double aRemoteSlowdown);
  std::optional<DomainTiming> Build(Reason& aReason) const;

private:
  DomainTiming value;
};

}
