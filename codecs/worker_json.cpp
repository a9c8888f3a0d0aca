#include "codecs/worker_json.h"

#include "codecs/json_fields.h"
#include "codecs/name_table.h"
#include "core/reason.h"
#include "machines/accelerator_range_builder.h"
#include "machines/task_builder.h"
#include "machines/task_list_builder.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace sardinecourse {

namespace {

using nlohmann::json;

constexpr NameTable<TaskState, 6> kStates{
  { { TaskState::kHeld, "held" },
    { TaskState::kRunning, "running" },
    { TaskState::kStopping, "stopping" },
    { TaskState::kFinished, "finished" },
    { TaskState::kFailed, "failed" },
    { TaskState::kStopped, "stopped" } }
};

json
TaskObject(const Task& aTask)
{
  return { { "name", aTask.Name().Text() },
           { "team", aTask.Team().Text() },
           { "job", aTask.Key().Text() },
           { "term", aTask.Term() },
           { "sequence", aTask.Sequence() },
           { "member", aTask.Member() },
           { "members", aTask.Members() },
           { "worker", aTask.Range().Worker().Text() },
           { "first", aTask.Range().First() },
           { "count", aTask.Range().Count() },
           { "cores", aTask.Cores() },
           { "memory_mb", aTask.Memory() },
           { "urgent", aTask.Urgent() },
           { "run_ms", aTask.RunTime().count() },
           { "ran_ms", aTask.Ran().count() },
           { "saved_ms", aTask.Saved().count() },
           { "lease_ms", aTask.Lease().count() },
           { "state", NameIn(kStates, aTask.State()) } };
}

std::optional<Task>
ReadTask(const json& aObject, Reason& aReason)
{
  const std::optional<TaskState> state =
    ValueIn(kStates, TextField(aObject, "state", "held"));
  if (!state) {
    aReason = Reason(Step::kDecode, "", "a task's state is unknown");
    return std::nullopt;
  }
  const auto range = AcceleratorRangeBuilder()
                       .Worker(WorkerName(TextField(aObject, "worker")))
                       .First(SmallIntegerField(aObject, "first"))
                       .Count(SmallIntegerField(aObject, "count"))
                       .Build(aReason);
  if (!range) {
    return std::nullopt;
  }
  TaskBuilder builder;
  builder.Name(TaskName(TextField(aObject, "name")))
    .Team(TeamName(TextField(aObject, "team")))
    .Key(JobKey(TextField(aObject, "job")))
    .Term(IntegerField(aObject, "term"))
    .Sequence(IntegerField(aObject, "sequence"));
  builder.Member(SmallIntegerField(aObject, "member"))
    .Members(SmallIntegerField(aObject, "members", 1))
    .Range(*range)
    .Cores(SmallIntegerField(aObject, "cores", 1))
    .Memory(SmallIntegerField(aObject, "memory_mb", 1))
    .Urgent(BooleanField(aObject, "urgent"));
  builder.RunTime(Milliseconds(IntegerField(aObject, "run_ms")))
    .Ran(Milliseconds(IntegerField(aObject, "ran_ms")))
    .Saved(Milliseconds(IntegerField(aObject, "saved_ms")))
    .State(*state);
  builder.Lease(Milliseconds(IntegerField(aObject, "lease_ms")));
  return builder.Build(aReason);
}

}

std::string
EncodeTask(const Task& aTask)
{
  return JsonText(TaskObject(aTask));
}

std::optional<Task>
DecodeTask(const std::string& aText, Reason& aReason)
{
  const std::optional<json> object = ParseJsonObject(aText);
  if (!object) {
    aReason = Reason(Step::kDecode, "", "a task must be a JSON object");
    return std::nullopt;
  }
  return ReadTask(*object, aReason);
}

std::string
EncodeTaskList(const TaskList& aList)
{
  json object = { { "version", aList.Version() } };
  // An unchanged list is the usual answer to a lease renewal, so only its
  // version is sent.
  if (aList.Version() != aList.Since()) {
    json tasks = json::array();
    for (const Task& task : aList.Tasks()) {
      tasks.push_back(TaskObject(task));
    }
    json gone = json::array();
    for (const TaskName& name : aList.Gone()) {
      gone.push_back(name.Text());
    }
    object["since"] = aList.Since();
    object["tasks"] = std::move(tasks);
    object["gone"] = std::move(gone);
  }
  return JsonText(object);
}

std::optional<TaskList>
DecodeTaskList(const std::string& aText, Reason& aReason)
{
  const std::optional<json> object = ParseJsonObject(aText);
  if (!object) {
    aReason = Reason(Step::kDecode, "", "a task list must be a JSON object");
    return std::nullopt;
  }
  std::vector<Task> tasks;
  const json changedTasks = object->value("tasks", json::array());
  for (const json& item : changedTasks) {
    const std::optional<Task> task =
      item.is_object() ? ReadTask(item, aReason) : std::nullopt;
    if (!task) {
      return std::nullopt;
    }
    tasks.push_back(*task);
  }
  std::vector<TaskName> gone;
  const json removedNames = object->value("gone", json::array());
  for (const json& item : removedNames) {
    if (item.is_string()) {
      gone.emplace_back(item.get<std::string>());
    }
  }
  const std::int64_t version = IntegerField(*object, "version");
  return TaskListBuilder()
    .Version(version)
    .Since(IntegerField(*object, "since", version))
    .Tasks(tasks)
    .Gone(gone)
    .Build(aReason);
}

std::string
EncodeTaskLeaseRenewal(Milliseconds aLease, std::int64_t aVersion)
{
  const json object = { { "lease_ms", aLease.count() },
                        { "version", aVersion } };
  return JsonText(object);
}

std::optional<Milliseconds>
DecodeSavedProgress(const std::string& aText, Reason& aReason)
{
  const std::optional<json> object = ParseJsonObject(aText);
  if (!object || !object->contains("saved_ms")) {
    aReason =
      Reason(Step::kDecode, "", "a checkpoint's answer has no \"saved_ms\"");
    return std::nullopt;
  }
  return Milliseconds(IntegerField(*object, "saved_ms"));
}

}
