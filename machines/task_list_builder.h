#pragma once

#include "machines/task_list.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a TaskList; Build() is empty, with the reason, when a field is
 * missing or out of range. */
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
