#pragma once

#include "core/instant.h"

#include <compare>

namespace sardinecourse {

/** Bounds of the waits in a scheduling domain. */
class DomainTiming
{
public:
  /** Leases of workers are renewed so long after the holder's own has lapsed,
   * since in an outage of the store nobody takes over. The next holder waits
   * for it. */
  static constexpr Milliseconds kRenewalGrace{ 4000 };

  /** How long the holder of the domain is undisputed after a renewal. */
  Milliseconds HolderLease() const { return this->holderLease; }
  /** Longest lease that a worker grants to what runs on it. */
  Milliseconds WorkerLease() const { return this->workerLease; }
  /** Longest time that a worker takes to stop a run. */
  Milliseconds StopTime() const { return this->stopTime; }
  /** Time within which a guaranteed job has all tasks of its first step
   * running. */
  Milliseconds ReclaimTime() const { return this->reclaimTime; }
  /** Time after which no host accepts a key that was taken away. */
  Milliseconds RevokeTime() const { return this->revokeTime; }
  /** Time for which the state of a final job is kept. */
  Milliseconds FinalJobRetention() const { return this->finalJobRetention; }
  /** Factor of the run time of tasks that miss the rack they prefer. */
  double RemoteSlowdown() const { return this->remoteSlowdown; }

  auto operator<=>(const DomainTiming&) const = default;

private:
  friend class DomainTimingBuilder;

  Milliseconds holderLease{ 3000 };
  Milliseconds workerLease{ 6000 };
  Milliseconds stopTime{ 900 };
  Milliseconds reclaimTime{ 3000 };
  Milliseconds revokeTime{ 5000 };
  Milliseconds finalJobRetention{ 180000 };
  double remoteSlowdown = 3.0;
};

}
