#pragma once

#include "core/instant.h"

#include <compare>

namespace sardinecourse {

/** Intervals and time limits of the holder of a data centre's racks. */
class HolderTiming
{
public:
  /** Validity of one renewal of the ownership. */
  Milliseconds Lease() const { return this->lease; }
  /** Interval between two renewals of the ownership. */
  Milliseconds Renewal() const { return this->renewal; }
  /** Wait of a candidate beyond the lease, for clock drift. */
  Milliseconds Margin() const { return this->margin; }
  /** Time limit of a command to a worker. */
  Milliseconds CommandTimeout() const { return this->commandTimeout; }
  /** Interval between two polls for newly admitted jobs. */
  Milliseconds QueuePoll() const { return this->queuePoll; }
  /** Time for which a worker keeps a task without a renewal. */
  Milliseconds TaskLease() const { return this->taskLease; }
  /** Interval between two renewals of the task leases of a worker. */
  Milliseconds TaskPoll() const { return this->taskPoll; }
  /** Max wait for a checkpoint before a gang is stopped. */
  Milliseconds CheckpointGrace() const { return this->checkpointGrace; }

  auto operator<=>(const HolderTiming&) const = default;

private:
  friend class HolderTimingBuilder;

  Milliseconds lease{ 3000 };
  Milliseconds renewal{ 1000 };
  Milliseconds margin{ 600 };
  Milliseconds commandTimeout{ 1000 };
  Milliseconds queuePoll{ 1000 };
  Milliseconds taskLease{ 60000 };
  Milliseconds taskPoll{ 20000 };
  Milliseconds checkpointGrace{ 3000 };
};

}
