#pragma once

#include "contracts/domain_timing.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a DomainTiming. Build() returns nullopt and sets aReason if a lease,
 * the reclaim time or the revoke time is not positive. */
class DomainTimingBuilder
{
public:
  DomainTimingBuilder& HolderLease(Milliseconds aHolderLease);
  DomainTimingBuilder& WorkerLease(Milliseconds aWorkerLease);
  DomainTimingBuilder& RestartTime(Milliseconds aRestartTime);
  DomainTimingBuilder& StopTime(Milliseconds aStopTime);
  DomainTimingBuilder& ReclaimTime(Milliseconds aReclaimTime);
  DomainTimingBuilder& RevokeTime(Milliseconds aRevokeTime);
  DomainTimingBuilder& FinalJobRetention(Milliseconds aFinalJobRetention);
  DomainTimingBuilder& RemoteSlowdown(double aRemoteSlowdown);
  std::optional<DomainTiming> Build(Reason& aReason) const;

private:
  DomainTiming value;
};

}
