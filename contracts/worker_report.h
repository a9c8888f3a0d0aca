#pragma once

#include "contracts/ended_task.h"
#include "contracts/running_task.h"
#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace sardinecourse {

/** A worker's answer to a poll: its running tasks and the runs that ended. */
class WorkerReport
{
public:
  /** Identifies the worker process; changes when the worker restarts under the
   * same name. */
  std::int64_t Incarnation() const { return this->incarnation; }
  /** The worker's own clock in milliseconds; leases on the worker are measured
   * by it. */
  std::int64_t ClockMs() const { return this->clockMs; }
  /** Time since the start of the worker process, by this host's time of day;
   * empty when it is not known. */
  const std::optional<Milliseconds>& Age() const { return this->age; }
  const std::vector<RunningTask>& Running() const { return this->running; }
  const std::vector<EndedTask>& Ended() const { return this->ended; }
  /** True if more runs may have ended than the report lists, so that a task
   * that it does not list may have ended too. */
  bool IsTruncated() const { return this->isTruncated; }

  auto operator<=>(const WorkerReport&) const = default;

private:
  friend class WorkerReportBuilder;

  std::int64_t incarnation = 0;
  std::int64_t clockMs = 0;
  std::optional<Milliseconds> age;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  bool isTruncated = false;
};

}
