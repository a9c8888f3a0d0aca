#pragma once

#include "machines/holder_timing.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a HolderTiming. Build() returns nullopt and sets aReason when an
 * interval is too long for its lease: a renewal or a task poll above half of
 * it, or a command timeout that is not shorter. */
class HolderTimingBuilder
{
public:
  HolderTimingBuilder& Lease(Milliseconds aLease);
  HolderTimingBuilder& Renewal(Milliseconds aRenewal);
  HolderTimingBuilder& Margin(Milliseconds aMargin);
  HolderTimingBuilder& CommandTimeout(Milliseconds aCommandTimeout);
  HolderTimingBuilder& QueuePoll(Milliseconds aQueuePoll);
  HolderTimingBuilder& TaskLease(Milliseconds aTaskLease);
  HolderTimingBuilder& TaskPoll(Milliseconds aTaskPoll);
  HolderTimingBuilder& CheckpointGrace(Milliseconds aCheckpointGrace);
  std::optional<HolderTiming> Build(Reason& aReason) const;

private:
  HolderTiming value;
};

}
