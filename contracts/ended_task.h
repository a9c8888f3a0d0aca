#pragma once

#include "contracts/run_outcome.h"
#include "contracts/task_address.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** A run that a worker reports as ended, until the holder acknowledges it. */
class EndedTask
{
public:
  /** Position in the worker's list of ended runs; starts at 1 in each
   * incarnation of the worker. */
  std::int64_t Number() const { return this->number; }
  const TaskAddress& Task() const { return this->task; }
  std::int64_t Run() const { return this->run; }
  const RunOutcome& Outcome() const { return this->outcome; }
  /** Newest checkpoint; empty if there is none. */
  const std::string& Saved() const { return this->saved; }

  auto operator<=>(const EndedTask&) const = default;

private:
  friend class EndedTaskBuilder;

  std::int64_t number = 0;
  TaskAddress task;
  std::int64_t run = 0;
  RunOutcome outcome = RunOutcome::kStopped;
  std::string saved;
};

}
