#pragma once

#include "contracts/running_task.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a RunningTask. Build() returns nullopt and sets aReason if the task
 * is missing. */
class RunningTaskBuilder
{
public:
  RunningTaskBuilder& Task(TaskAddress aTask);
  RunningTaskBuilder& Run(std::int64_t aRun);
  RunningTaskBuilder& Saved(std::string aSaved);
  RunningTaskBuilder& Percent(std::int32_t aPercent);
  std::optional<RunningTask> Build(Reason& aReason) const;

private:
  RunningTask value;
};

}
