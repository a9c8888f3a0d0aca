#include "contracts/running_task_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

RunningTaskBuilder&
RunningTaskBuilder::Task(TaskAddress aTask)
{
  this->value.task = std::move(aTask);
  return *this;
}

RunningTaskBuilder&
RunningTaskBuilder::Run(std::int64_t aRun)
{
  this->value.run = aRun;
  return *this;
}

RunningTaskBuilder&
RunningTaskBuilder::Saved(std::string aSaved)
{
  this->value.saved = std::move(aSaved);
  return *this;
}

RunningTaskBuilder&
RunningTaskBuilder::Percent(std::int32_t aPercent)
{
  this->value.percent = aPercent;
  return *this;
}

std::optional<RunningTask>
RunningTaskBuilder::Build(Reason& aReason) const
{
  if (this->value.task.Job().Empty()) {
    aReason = Reason(Step::kDecode, "", "a run needs a task");
    return std::nullopt;
  }
  return this->value;
}

}
