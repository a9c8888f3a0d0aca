#pragma once

#include "contracts/task_address.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** A run that a worker reports as running. */
class RunningTask
{
public:
  const TaskAddress& Task() const { return this->task; }
  /** Run number; increases with each start of the task. */
  std::int64_t Run() const { return this->run; }
  /** Newest checkpoint; empty if there is none. */
  const std::string& Saved() const { return this->saved; }
  /** Completed part of the work, in percent. */
  std::int32_t Percent() const { return this->percent; }

  auto operator<=>(const RunningTask&) const = default;

private:
  friend class RunningTaskBuilder;

  TaskAddress task;
  std::int64_t run = 0;
  std::string saved;
  std::int32_t percent = 0;
};

}
