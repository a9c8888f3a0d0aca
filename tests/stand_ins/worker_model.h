#pragma once

#include "core/instant.h"
#include "machines/task.h"
#include "machines/task_list.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace sardinecourse {

/** JSON array of the events on all workers of one process, in their order. */
using TaskHistory = nlohmann::json;

/**
 * One worker of the platform. It checks neither capacity nor fencing tokens, so
 * that the history shows an oversubscription or a stale holder. Faults can be
 * changed while it runs.
 */
class WorkerModel
{
public:
  WorkerModel(std::string aName, TaskHistory& aHistory);

  /** Current faults by name, as integers: fail_starts, slow_ms, lose_answers,
   * ignore_checkpoint, late_stop_ms, dead, run_percent, fail_running. */
  nlohmann::json faults = nlohmann::json::object();

  /** Adds a task in the held state; false while fail_starts is set. */
  bool Start(const Task& aTask, Instant aNow);
  /** Runs a held task; false when the task is unknown or has ended. */
  bool Release(const TaskName& aName, Instant aNow);
  /** Stops a held or running task, and removes one that has ended; always
   * true. */
  bool Stop(const TaskName& aName, Instant aNow);
  /** Work saved so far; empty when the task does not run or while
   * ignore_checkpoint is set. */
  std::optional<Milliseconds> Checkpoint(const TaskName& aName, Instant aNow);
  /** Lists the changes since a version, all tasks when it is of an earlier
   * incarnation; extends the leases only if aVersion is the current one. */
  TaskList Renew(Milliseconds aLease, std::int64_t aVersion, Instant aNow);

  /** Ends tasks that are due, and stops those whose lease has expired. */
  void Advance(Instant aNow);
  /** Drops all tasks, as a host that loses power. */
  void Crash(Instant aNow);

  /** Value of a fault; 0 when it is not set. */
  std::int64_t FaultValue(const char* aName) const;

private:
  struct Entry
  {
    Task task;
    std::int64_t version = 0;
    Instant leaseEnd;
    Instant releasedAt;
    Instant runEnd;
    Instant stopAt;
  };

  void Change(Entry& aEntry,
              TaskState aState,
              const char* aEvent,
              Instant aNow);
  void Record(const Task& aTask, const char* aEvent, Instant aNow);
  void RecordOversubscription(const Task& aTask, Instant aNow);

  std::string name;
  TaskHistory* history;
  std::map<TaskName, Entry> tasks;
  std::map<TaskName, std::int64_t> removedTasks;
  std::int64_t firstVersion;
  std::int64_t version;
};

}
