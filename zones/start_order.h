#pragma once

#include "contracts/task_address.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** An order to start one task on one worker. */
class StartOrder
{
public:
  const WorkerName& Worker() const { return this->worker; }
  const TaskAddress& Task() const { return this->task; }
  std::int64_t Run() const { return this->run; }
  /** Checkpoint to resume from; empty to start from the beginning. */
  const std::string& Checkpoint() const { return this->checkpoint; }
  /** Version of the job's progress that must be stored before the order is
   * sent. */
  std::int64_t JobVersion() const { return this->jobVersion; }

  auto operator<=>(const StartOrder&) const = default;

private:
  friend class StartOrderBuilder;

  WorkerName worker;
  TaskAddress task;
  std::int64_t run = 0;
  std::string checkpoint;
  std::int64_t jobVersion = 0;
};

}
