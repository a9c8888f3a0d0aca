#pragma once

#include "machines/holder_timing.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a HolderTiming; Build() is empty, with the reason, when a field is
 * missing or out of range. */
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
