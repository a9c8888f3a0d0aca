#pragma once

#include "core/instant.h"
#include "machines/task.h"
#include "machines/task_list.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace sardinecourse {

/** Everything that happened on all workers of one process, in one order. */
using TaskHistory = nlohmann::json;

/**
 * One worker of the platform: it starts what it is given, whether it fits or
 * not, and fences nothing. Its faults are switched while it runs.
 */
class WorkerModel
{
public:
  WorkerModel(std::string aName, TaskHistory& aHistory);

  /** Faults in force: fail_starts, slow_ms, lose_answers, ignore_checkpoint,
   * late_stop_ms, dead, run_percent, fail_running. */
  nlohmann::json faults = nlohmann::json::object();

  /** Starts a task held; false when the fault says so. */
  bool Start(const Task& aTask, Instant aNow);
  bool Release(const TaskName& aName, Instant aNow);
  /** Stops a task that runs, and forgets one that has ended. */
  bool Stop(const TaskName& aName, Instant aNow);
  std::optional<Milliseconds> Checkpoint(const TaskName& aName, Instant aNow);
  TaskList Renew(Milliseconds aLease, std::int64_t aVersion, Instant aNow);

  /** Ends what is due, and stops tasks whose lease has lapsed. */
  void Advance(Instant aNow);
  /** Loses all tasks, as a host that loses its power. */
  void Crash(Instant aNow);

  std::int64_t Fault(const char* aName) const;

private:
  struct Entry
  {
    Task task;
    std::int64_t version = 0;
    Instant leaseEnd;
    Instant released;
    Instant end;
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
  std::map<TaskName, std::int64_t> gone;
  std::int64_t firstVersion;
  std::int64_t version;
};

}
