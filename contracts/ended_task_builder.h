#pragma once

#include "contracts/ended_task.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds an EndedTask. Build() returns nullopt and sets aReason if the task is
 * missing. */
class EndedTaskBuilder
{
public:
  EndedTaskBuilder& Number(std::int64_t aNumber);
  EndedTaskBuilder& Task(TaskAddress aTask);
  EndedTaskBuilder& Run(std::int64_t aRun);
  EndedTaskBuilder& Outcome(RunOutcome aOutcome);
  EndedTaskBuilder& Saved(std::string aSaved);
  std::optional<EndedTask> Build(Reason& aReason) const;

private:
  EndedTask value;
};

}
