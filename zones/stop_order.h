#pragma once

#include "contracts/task_address.h"
#include "core/names.h"
#include "zones/stop_cause.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** An order to stop one run of a task on one worker. */
class StopOrder
{
public:
  const WorkerName& Worker() const { return this->worker; }
  const TaskAddress& Task() const { return this->task; }
  std::int64_t Run() const { return this->run; }
  StopCause Cause() const { return this->cause; }

  auto operator<=>(const StopOrder&) const = default;

private:
  friend class StopOrderBuilder;

  WorkerName worker;
  TaskAddress task;
  std::int64_t run = 0;
  StopCause cause = StopCause::kNone;
};

}
