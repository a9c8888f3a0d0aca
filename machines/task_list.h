#pragma once

#include "core/names.h"
#include "machines/task.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/** Changes of a worker's tasks since a version that the reader already has. */
class TaskList
{
public:
  /** Increases with every change of a task on the worker. */
  std::int64_t Version() const { return this->version; }
  /** Version that the changes start from; zero when all tasks are listed. */
  std::int64_t Since() const { return this->since; }
  /** Tasks that changed. */
  const std::vector<Task>& Tasks() const { return this->tasks; }
  /** Tasks that the worker has deleted. */
  const std::vector<TaskName>& Gone() const { return this->gone; }

  auto operator<=>(const TaskList&) const = default;

private:
  friend class TaskListBuilder;

  std::int64_t version = 0;
  std::int64_t since = 0;
  std::vector<Task> tasks;
  std::vector<TaskName> gone;
};

}
