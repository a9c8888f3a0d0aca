#pragma once

#include "core/names.h"
#include "machines/task.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/** What a worker tells of its tasks since a version that the reader has seen.
 */
class TaskList
{
public:
  /** Grows with every change of a task on the worker. */
  std::int64_t Version() const { return this->version; }
  /** Version that the list starts from; zero when it is the whole list. */
  std::int64_t Since() const { return this->since; }
  /** Tasks that changed. */
  const std::vector<Task>& Tasks() const { return this->tasks; }
  /** Tasks that the worker has forgotten. */
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
