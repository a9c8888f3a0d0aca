#include "contracts/ended_task_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

EndedTaskBuilder&
EndedTaskBuilder::Number(std::int64_t aNumber)
{
  this->value.number = aNumber;
  return *this;
}

EndedTaskBuilder&
EndedTaskBuilder::Task(TaskAddress aTask)
{
  this->value.task = std::move(aTask);
  return *this;
}

EndedTaskBuilder&
EndedTaskBuilder::Run(std::int64_t aRun)
{
  this->value.run = aRun;
  return *this;
}

EndedTaskBuilder&
EndedTaskBuilder::Outcome(RunOutcome aOutcome)
{
  this->value.outcome = aOutcome;
  return *this;
}

EndedTaskBuilder&
EndedTaskBuilder::Saved(std::string aSaved)
{
  this->value.saved = std::move(aSaved);
  return *this;
}

std::optional<EndedTask>
EndedTaskBuilder::Build(Reason& aReason) const
{
  if (this->value.task.Job().Empty()) {
    aReason = Reason(Step::kDecode, "", "an ended run needs a task");
    return std::nullopt;
  }
  return this->value;
}

}
