#include "worker_model.h"

#include "core/reason.h"
#include "machines/task_builder.h"
#include "machines/task_list_builder.h"

#include <random>
#include <utility>

namespace sardinecourse {

namespace {

/** Each incarnation counts versions from another multiple of this, so that a
 * version of an earlier one is out of range. */
constexpr std::int64_t kVersionsPerStart = 1 << 20;

Task
WithState(const Task& aTask,
          TaskState aState,
          Milliseconds aRan,
          Milliseconds aSaved)
{
  Reason reason;
  TaskBuilder builder;
  builder.Name(aTask.Name()).Team(aTask.Team()).Key(aTask.Key());
  builder.Term(aTask.Term()).Sequence(aTask.Sequence());
  builder.Member(aTask.Member()).Members(aTask.Members());
  builder.Range(aTask.Range()).Cores(aTask.Cores()).Memory(aTask.Memory());
  builder.Urgent(aTask.Urgent()).RunTime(aTask.RunTime());
  builder.Lease(aTask.Lease());
  return *builder.State(aState).Ran(aRan).Saved(aSaved).Build(reason);
}

Milliseconds
Since(Instant aStart, Instant aNow)
{
  return std::chrono::duration_cast<Milliseconds>(aNow - aStart);
}

}

WorkerModel::WorkerModel(std::string aName, TaskHistory& aHistory)
  : name(std::move(aName))
  , history(&aHistory)
  , firstVersion((1 + std::random_device{}() % kVersionsPerStart) *
                 kVersionsPerStart)
  , version(this->firstVersion)
{
}

std::int64_t
WorkerModel::FaultValue(const char* aName) const
{
  return this->faults.value(aName, std::int64_t{ 0 });
}

bool
WorkerModel::Start(const Task& aTask, Instant aNow)
{
  if (this->FaultValue("fail_starts") != 0) {
    this->Record(aTask, "start_failed", aNow);
    return false;
  }
  if (this->tasks.contains(aTask.Name())) {
    return true;
  }
  Entry entry;
  entry.task =
    WithState(aTask, TaskState::kHeld, Milliseconds(0), aTask.Saved());
  entry.leaseEnd = aNow + aTask.Lease();
  entry.version = ++this->version;
  this->Record(aTask, "held", aNow);
  this->RecordOversubscription(aTask, aNow);
  this->tasks.emplace(aTask.Name(), std::move(entry));
  return true;
}

bool
WorkerModel::Release(const TaskName& aName, Instant aNow)
{
  const auto found = this->tasks.find(aName);
  if (found == this->tasks.end()) {
    return false;
  }
  Entry& entry = found->second;
  if (entry.task.State() == TaskState::kRunning) {
    return true;
  }
  if (entry.task.State() != TaskState::kHeld) {
    return false;
  }
  const std::int64_t percent =
    this->faults.value("run_percent", std::int64_t{ 100 });
  entry.releasedAt = aNow;
  entry.runEnd = aNow + entry.task.RunTime() * percent / 100;
  this->Change(entry, TaskState::kRunning, "released", aNow);
  if (this->FaultValue("fail_running") != 0) {
    this->Change(entry, TaskState::kFailed, "failed", aNow);
  }
  return true;
}

bool
WorkerModel::Stop(const TaskName& aName, Instant aNow)
{
  const auto found = this->tasks.find(aName);
  if (found == this->tasks.end()) {
    return true;
  }
  Entry& entry = found->second;
  if (!OccupiesAccelerators(entry.task.State())) {
    this->Record(entry.task, "forgotten", aNow);
    this->removedTasks[aName] = ++this->version;
    this->tasks.erase(found);
    return true;
  }
  const Milliseconds stopDelay(this->FaultValue("late_stop_ms"));
  if (stopDelay.count() == 0) {
    this->Change(entry, TaskState::kStopped, "stopped", aNow);
  } else if (entry.task.State() != TaskState::kStopping) {
    entry.stopAt = aNow + stopDelay;
    this->Change(entry, TaskState::kStopping, "stopping", aNow);
  }
  return true;
}

std::optional<Milliseconds>
WorkerModel::Checkpoint(const TaskName& aName, Instant aNow)
{
  const auto found = this->tasks.find(aName);
  if (found == this->tasks.end() ||
      found->second.task.State() != TaskState::kRunning ||
      this->FaultValue("ignore_checkpoint") != 0) {
    return std::nullopt;
  }
  Entry& entry = found->second;
  const Milliseconds saved = entry.task.Saved() + Since(entry.releasedAt, aNow);
  entry.version = ++this->version;
  this->Record(entry.task, "checkpoint", aNow);
  return saved;
}

TaskList
WorkerModel::Renew(Milliseconds aLease, std::int64_t aVersion, Instant aNow)
{
  const bool isFromThisIncarnation =
    aVersion >= this->firstVersion && aVersion <= this->version;
  const std::int64_t since = isFromThisIncarnation ? aVersion : 0;
  std::vector<Task> changed;
  for (auto& [taskName, entry] : this->tasks) {
    if (aVersion == this->version) {
      entry.leaseEnd = aNow + aLease;
    }
    if (entry.version > since) {
      const Milliseconds ran = entry.task.State() == TaskState::kRunning
                                 ? Since(entry.releasedAt, aNow)
                                 : entry.task.Ran();
      changed.push_back(
        WithState(entry.task, entry.task.State(), ran, entry.task.Saved()));
    }
  }
  std::vector<TaskName> removed;
  for (const auto& [taskName, at] : this->removedTasks) {
    if (since != 0 && at > since) {
      removed.push_back(taskName);
    }
  }
  Reason reason;
  return *TaskListBuilder()
            .Version(this->version)
            .Since(since)
            .Tasks(changed)
            .Gone(removed)
            .Build(reason);
}

void
WorkerModel::Advance(Instant aNow)
{
  for (auto& [taskName, entry] : this->tasks) {
    const TaskState state = entry.task.State();
    if (state == TaskState::kStopping && aNow >= entry.stopAt) {
      this->Change(entry, TaskState::kStopped, "stopped", aNow);
    } else if (state == TaskState::kRunning && aNow >= entry.runEnd) {
      this->Change(entry, TaskState::kFinished, "finished", aNow);
    } else if (OccupiesAccelerators(state) && aNow >= entry.leaseEnd) {
      this->Change(entry, TaskState::kStopped, "lapsed", aNow);
    }
  }
}

void
WorkerModel::Crash(Instant aNow)
{
  for (const auto& [taskName, entry] : this->tasks) {
    if (OccupiesAccelerators(entry.task.State())) {
      this->Record(entry.task, "lost", aNow);
    }
  }
  this->tasks.clear();
  this->removedTasks.clear();
  this->firstVersion += kVersionsPerStart;
  this->version = this->firstVersion;
}

void
WorkerModel::Change(Entry& aEntry,
                    TaskState aState,
                    const char* aEvent,
                    Instant aNow)
{
  const Milliseconds ran = aEntry.releasedAt == Instant()
                             ? Milliseconds(0)
                             : Since(aEntry.releasedAt, aNow);
  aEntry.task = WithState(aEntry.task, aState, ran, aEntry.task.Saved());
  aEntry.version = ++this->version;
  this->Record(aEntry.task, aEvent, aNow);
}

void
WorkerModel::Record(const Task& aTask, const char* aEvent, Instant aNow)
{
  this->history->push_back({ { "at_ms", Since(Instant(), aNow).count() },
                             { "worker", this->name },
                             { "event", aEvent },
                             { "task", aTask.Name().Text() },
                             { "team", aTask.Team().Text() },
                             { "job", aTask.Key().Text() },
                             { "term", aTask.Term() },
                             { "sequence", aTask.Sequence() },
                             { "member", aTask.Member() },
                             { "members", aTask.Members() },
                             { "first", aTask.Range().First() },
                             { "count", aTask.Range().Count() } });
}

void
WorkerModel::RecordOversubscription(const Task& aTask, Instant aNow)
{
  const std::int32_t first = aTask.Range().First();
  const std::int32_t end = first + aTask.Range().Count();
  for (const auto& [taskName, entry] : this->tasks) {
    const std::int32_t otherFirst = entry.task.Range().First();
    const std::int32_t otherEnd = otherFirst + entry.task.Range().Count();
    if (OccupiesAccelerators(entry.task.State()) && first < otherEnd &&
        otherFirst < end) {
      this->Record(entry.task, "oversubscribed", aNow);
      this->Record(aTask, "oversubscribed", aNow);
    }
  }
}

}
