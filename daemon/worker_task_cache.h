#pragma once

#include "core/reason.h"
#include "links/when_all.h"
#include "links/worker_link.h"
#include "machines/holder_timing.h"
#include "machines/worker.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace sardinecourse {

/** The tasks of the workers of one data centre, as last reported. Its polls
 * also renew the leases of these tasks. */
template<WorkerLink Link>
class WorkerTaskCache
{
public:
  WorkerTaskCache(Link& aLink, HolderTiming aTiming)
    : link(&aLink)
    , timing(aTiming)
  {
  }

  void SetTiming(const HolderTiming& aTiming) { this->timing = aTiming; }

  /** Sets the workers listed in the settings in force. Cached tasks of workers
   * that stay are kept. A worker removed from the settings stays while it has
   * tasks. */
  void SetWorkers(const std::vector<Worker>& aWorkers)
  {
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
      entry->second.isListed = false;
      const bool isIdle =
        entry->second.tasks.empty() && !entry->second.isPolling;
      entry = isIdle ? this->entries.erase(entry) : std::next(entry);
    }
    for (const Worker& worker : aWorkers) {
      Entry& entry = this->entries[worker.Name()];
      entry.worker = worker;
      entry.isListed = true;
    }
  }

  /** Requests a full task list from every worker. */
  void Reset()
  {
    for (auto& [name, entry] : this->entries) {
      entry.isListReceived = false;
      entry.lastContact = Clock::now();
      this->Refetch(name, Clock::now());
    }
  }

  /** Requests a full task list from a worker at aWhen or later; until it is
   * received, nothing is started on that worker. */
  void Refetch(const WorkerName& aName, Instant aWhen)
  {
    const auto found = this->entries.find(aName);
    if (found != this->entries.end()) {
      found->second.refetchAt = std::max(found->second.refetchAt, aWhen);
      found->second.needsFullList = true;
      found->second.nextPoll =
        std::min(found->second.nextPoll, found->second.refetchAt);
    }
  }

  /** Records the effect of a command before the worker reports it. */
  void Put(const Task& aTask)
  {
    const auto found = this->entries.find(aTask.Range().Worker());
    if (found == this->entries.end()) {
      return;
    }
    Entry& entry = found->second;
    entry.tasks.insert_or_assign(aTask.Name(), aTask);
    entry.putAt.insert_or_assign(aTask.Name(), Clock::now());
    if (aTask.State() == TaskState::kRunning) {
      entry.releasedAt.try_emplace(aTask.Name(), Clock::now());
    }
    ++this->changes;
  }

  /** Creates the polls of all workers that are due at aNow; run each of them.
   */
  std::vector<boost::asio::awaitable<void>> PollsDue(Instant aNow)
  {
    std::vector<boost::asio::awaitable<void>> polls;
    for (auto& [name, entry] : this->entries) {
      if (aNow >= entry.nextPoll && !entry.isPolling) {
        entry.isPolling = true;
        polls.push_back(this->Poll(name));
      }
    }
    return polls;
  }

  /** Moves the next poll of a worker to aWhen if it is due later. */
  void PollBy(const WorkerName& aName, Instant aWhen)
  {
    const auto found = this->entries.find(aName);
    if (found != this->entries.end()) {
      Instant& next = found->second.nextPoll;
      next = std::min(next, aWhen);
    }
  }

  /** All cached tasks of all workers. */
  std::vector<Task> Tasks() const
  {
    std::vector<Task> tasks;
    for (const auto& [name, entry] : this->entries) {
      for (const auto& [taskName, task] : entry.tasks) {
        tasks.push_back(task);
      }
    }
    return tasks;
  }

  /** When a running task was released, as recorded or computed from its run
   * time; the current time if that is unknown. */
  Instant ReleasedAt(const Task& aTask) const
  {
    const auto entry = this->entries.find(aTask.Range().Worker());
    if (entry == this->entries.end()) {
      return Clock::now();
    }
    const auto found = entry->second.releasedAt.find(aTask.Name());
    return found == entry->second.releasedAt.end() ? Clock::now()
                                                   : found->second;
  }

  /** The worker of that name; null if there is none. */
  const Worker* Find(const WorkerName& aName) const
  {
    const auto found = this->entries.find(aName);
    return found == this->entries.end() ? nullptr : &found->second.worker;
  }

  /** Workers without an answer for more than half the task lease; their tasks
   * count as lost. */
  std::vector<WorkerName> Unresponsive(Instant aNow) const
  {
    std::vector<WorkerName> names;
    for (const auto& [name, entry] : this->entries) {
      if (entry.isListReceived &&
          aNow - entry.lastContact > this->timing.TaskLease() / 2) {
        names.push_back(name);
      }
    }
    return names;
  }

  /** Workers on which nothing may be started: they are not listed, have failed,
   * or their full task list has not been received. */
  std::vector<WorkerName> Unusable() const
  {
    std::vector<WorkerName> names;
    for (const auto& [name, entry] : this->entries) {
      if (!entry.isListReceived || entry.hasFailed || entry.needsFullList ||
          !entry.isListed) {
        names.push_back(name);
      }
    }
    return names;
  }

  /** Counter that increases with every change. */
  std::int64_t Changes() const { return this->changes; }

private:
  struct Entry
  {
    Worker worker;
    bool isListed = true;
    /** It has sent a full task list since Reset(). */
    bool isListReceived = false;
    bool hasFailed = false;
    bool isPolling = false;
    std::int64_t version = 0;
    Instant nextPoll;
    Instant lastContact;
    std::map<TaskName, Task> tasks;
    std::map<TaskName, Instant> releasedAt;
    /** When Put() recorded each task. */
    std::map<TaskName, Instant> putAt;
    bool needsFullList = true;
    Instant refetchAt;
  };

  static constexpr Milliseconds kRetryInterval{ 1000 };

  boost::asio::awaitable<void> Poll(WorkerName aName)
  {
    bool isCurrent = false;
    // A worker renews leases only for a holder that has received its current
    // list, so a list with changes is followed by a second call.
    for (int call = 0; call < 2 && !isCurrent; ++call) {
      const Entry& entry = this->entries.at(aName);
      const Worker worker = entry.worker;
      const Instant sent = Clock::now();
      const bool isFullRequest = entry.needsFullList && sent >= entry.refetchAt;
      const std::int64_t cachedVersion = isFullRequest ? 0 : entry.version;
      Reason reason;
      const std::optional<TaskList> list = co_await this->link->Renew(
        worker, this->timing.TaskLease(), cachedVersion, reason);
      if (!list) {
        this->HandleFailure(this->entries.at(aName));
        break;
      }
      isCurrent = list->Version() == cachedVersion;
      this->Apply(this->entries.at(aName), *list, sent);
    }
    this->entries.at(aName).isPolling = false;
  }

  void Apply(Entry& aEntry, const TaskList& aList, Instant aSent)
  {
    const Instant now = Clock::now();
    aEntry.lastContact = now;
    aEntry.nextPoll = now + this->timing.TaskPoll();
    const bool hasChanged = aList.Version() != aEntry.version ||
                            aEntry.hasFailed || aEntry.needsFullList;
    aEntry.hasFailed = false;
    aEntry.version = aList.Version();
    if (aList.Since() == 0) {
      this->RemoveReplaced(aEntry, aSent);
      aEntry.isListReceived = true;
      aEntry.needsFullList = aSent < aEntry.refetchAt;
    }
    if (aEntry.needsFullList) {
      aEntry.nextPoll = std::max(now, aEntry.refetchAt);
    }
    if (!hasChanged) {
      return;
    }
    ++this->changes;
    for (const TaskName& name : aList.Gone()) {
      this->Erase(aEntry, name);
    }
    for (const Task& task : aList.Tasks()) {
      aEntry.tasks.insert_or_assign(task.Name(), task);
      if (task.State() == TaskState::kRunning) {
        aEntry.releasedAt.try_emplace(task.Name(), now - task.Ran());
      }
    }
  }

  /** Removes the tasks that a full list, requested at aSent, replaces. Tasks
   * recorded by Put() since then are kept. */
  static void RemoveReplaced(Entry& aEntry, Instant aSent)
  {
    std::vector<TaskName> names;
    for (const auto& [name, task] : aEntry.tasks) {
      const auto put = aEntry.putAt.find(name);
      if (put == aEntry.putAt.end() || put->second < aSent) {
        names.push_back(name);
      }
    }
    for (const TaskName& name : names) {
      Erase(aEntry, name);
    }
  }

  static void Erase(Entry& aEntry, const TaskName& aName)
  {
    aEntry.tasks.erase(aName);
    aEntry.releasedAt.erase(aName);
    aEntry.putAt.erase(aName);
  }

  void HandleFailure(Entry& aEntry)
  {
    const Instant now = Clock::now();
    aEntry.nextPoll = now + kRetryInterval;
    ++this->changes;
    aEntry.hasFailed = true;
    // After this time the worker itself has stopped the tasks whose leases were
    // not renewed.
    const Milliseconds expiry =
      this->timing.TaskLease() + this->timing.Margin();
    if (aEntry.isListReceived && now - aEntry.lastContact > expiry) {
      this->RemoveReplaced(aEntry, now);
      aEntry.needsFullList = true;
    }
  }

  Link* link;
  HolderTiming timing;
  std::map<WorkerName, Entry> entries;
  std::int64_t changes = 0;
};

}
