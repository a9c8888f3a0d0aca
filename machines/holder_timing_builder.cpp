#include "machines/holder_timing_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

HolderTimingBuilder&
HolderTimingBuilder::Lease(Milliseconds aLease)
{
  this->value.lease = aLease;
  return *this;
}

HolderTimingBuilder&
HolderTimingBuilder::Renewal(Milliseconds aRenewal)
{
  this->value.renewal = aRenewal;
  return *this;
}

HolderTimingBuilder&
HolderTimingBuilder::Margin(Milliseconds aMargin)
{
  this->value.margin = aMargin;
  return *this;
}

HolderTimingBuilder&
HolderTimingBuilder::CommandTimeout(Milliseconds aCommandTimeout)
{
  this->value.commandTimeout = aCommandTimeout;
  return *this;
}

HolderTimingBuilder&
HolderTimingBuilder::QueuePoll(Milliseconds aQueuePoll)
{
  this->value.queuePoll = aQueuePoll;
  return *this;
}

HolderTimingBuilder&
HolderTimingBuilder::TaskLease(Milliseconds aTaskLease)
{
  this->value.taskLease = aTaskLease;
  return *this;
}

HolderTimingBuilder&
HolderTimingBuilder::TaskPoll(Milliseconds aTaskPoll)
{
  this->value.taskPoll = aTaskPoll;
  return *this;
}

HolderTimingBuilder&
HolderTimingBuilder::CheckpointGrace(Milliseconds aCheckpointGrace)
{
  this->value.checkpointGrace = aCheckpointGrace;
  return *this;
}

std::optional<HolderTiming>
HolderTimingBuilder::Build(Reason& aReason) const
{
  if (this->value.renewal * 2 > this->value.lease) {
    aReason =
      Reason(Step::kSettings, "renewal", "must be at most half of the lease");
    return std::nullopt;
  }
  if (this->value.commandTimeout >= this->value.lease) {
    aReason = Reason(
      Step::kSettings, "command_timeout", "must be shorter than the lease");
    return std::nullopt;
  }
  if (this->value.taskPoll * 2 > this->value.taskLease) {
    aReason = Reason(
      Step::kSettings, "task_poll", "must be at most half of the task lease");
    return std::nullopt;
  }
  return this->value;
}

}
