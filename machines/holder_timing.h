#pragma once

#include "core/instant.h"

#include <compare>

namespace sardinecourse {

/** Intervals of a holder. */
class HolderTiming
{
public:
  /** How long a renewal of the ownership lasts. */
  Milliseconds Lease() const { return this->lease; }
  /** Between two renewals. */
  Milliseconds Renewal() const { return this->renewal; }
  /** What a candidate waits beyond the lease, for drift of clocks. */
  Milliseconds Margin() const { return this->margin; }
  /** Longest a command to a worker takes. */
  Milliseconds CommandTimeout() const { return this->commandTimeout; }
  /** Between two looks for newly admitted jobs. */
  Milliseconds QueuePoll() const { return this->queuePoll; }
  /** How long a worker keeps a task without a renewal. */
  Milliseconds TaskLease() const { return this->taskLease; }
  /** Between two renewals of the task leases of a worker. */
  Milliseconds TaskPoll() const { return this->taskPoll; }
  /** Longest wait for a checkpoint before a gang is stopped. */
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
