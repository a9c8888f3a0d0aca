#pragma once

#include "machines/task_list.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a TaskList. Build() returns nullopt and sets aReason when Version()
 * is lower than Since(). */
class TaskListBuilder
{
public:
  TaskListBuilder& Version(std::int64_t aVersion);
  TaskListBuilder& Since(std::int64_t aSince);
  TaskListBuilder& Tasks(std::vector<Task> aTasks);
  TaskListBuilder& Gone(std::vector<TaskName> aGone);
  std::optional<TaskList> Build(Reason& aReason) const;

private:
  TaskList value;
};

}
