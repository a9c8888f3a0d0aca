#include "machines/task_list_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

TaskListBuilder&
TaskListBuilder::Version(std::int64_t aVersion)
{
  this->value.version = aVersion;
  return *this;
}

TaskListBuilder&
TaskListBuilder::Since(std::int64_t aSince)
{
  this->value.since = aSince;
  return *this;
}

TaskListBuilder&
TaskListBuilder::Tasks(std::vector<Task> aTasks)
{
  this->value.tasks = std::move(aTasks);
  return *this;
}

TaskListBuilder&
TaskListBuilder::Gone(std::vector<TaskName> aGone)
{
  this->value.gone = std::move(aGone);
  return *this;
}

std::optional<TaskList>
TaskListBuilder::Build(Reason& aReason) const
{
  if (this->value.version < this->value.since) {
    aReason =
      Reason(Step::kDecode,
             "",
             "the version must not be lower than the one the list starts from");
    return std::nullopt;
  }
  return this->value;
}

}
