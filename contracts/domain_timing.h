#pragma once

#include "core/instant.h"

#include <compare>
#include <optional>

namespace sardinecourse {

/** Time limits of a scheduling domain. */
class DomainTiming
{
public:
  /** How long a holder keeps renewing worker leases after its own lease has
   * expired. During an outage of the store no process can take over, so the
   * work goes on. The next holder waits for this time as well. */
  static constexpr Milliseconds kRenewalGrace{ 4000 };
  /** A worker refuses a start that reaches it later than this after it was
   * sent. The window exceeds the timeout of the order, so a start that arrives
   * in time is never refused. */
  static constexpr Milliseconds kStartWindow{ 1500 };

  /** Max time after which a worker carries out an order that it has not
   * answered. */
  static constexpr Milliseconds kMaxOrderDelay{ 12'000 };

  /** How long after a renewal the holder has the domain exclusively. */
  Milliseconds HolderLease() const { return this->holderLease; }
  /** Max lease that a worker grants to the runs on it. */
  Milliseconds WorkerLease() const { return this->workerLease; }
  /** Max time until a task whose worker and holder were lost together runs
   * again. */
  Milliseconds RestartTime() const { return this->restartTime; }
  /** Lease that a holder grants to the runs on a worker: it outlasts a change
   * of the holder, and ends early enough for RestartTime(). */
  Milliseconds GrantedLease() const;
  /** The same for a worker that is leaving, whose exit is not reported. It
   * outlasts a lost poll. */
  Milliseconds LeavingLease() const;
  /** Max time that a worker takes to stop a run. */
  Milliseconds StopTime() const { return this->stopTime; }
  /** Max time until all tasks of the first step of a guaranteed job run. */
  Milliseconds ReclaimTime() const { return this->reclaimTime; }
  /** Max time until every host rejects a revoked key. */
  Milliseconds RevokeTime() const { return this->revokeTime; }
  /** Max time until no host starts anything in an evacuated data centre; empty
   * when there is no such limit. */
  const std::optional<Milliseconds>& EvacuateTime() const
  {
    return this->evacuateTime;
  }
  /** How long the state of a finished, failed or cancelled job is kept. */
  Milliseconds FinalJobRetention() const { return this->finalJobRetention; }
  /** Factor by which tasks run longer outside the rack that they prefer. */
  double RemoteSlowdown() const { return this->remoteSlowdown; }

  auto operator<=>(const DomainTiming&) const = default;

private:
  friend class DomainTimingBuilder;

  Milliseconds holderLease{ 3000 };
  Milliseconds workerLease{ 6000 };
  Milliseconds restartTime{ 14000 };
  Milliseconds stopTime{ 900 };
  Milliseconds reclaimTime{ 3000 };
  Milliseconds revokeTime{ 5000 };
  std::optional<Milliseconds> evacuateTime;
  Milliseconds finalJobRetention{ 180000 };
  double remoteSlowdown = 3.0;
};

}
