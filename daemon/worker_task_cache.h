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

/** What the workers of one data centre run, as they last told. Its polls renew
 * the leases of their tasks. */
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

  /** The workers by the settings in force; what is known of those that stay is
   * kept. A worker taken from the settings stays while it has tasks. */
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

  /** Has every worker tell all again. */
  void Reset()
  {
    for (auto& [name, entry] : this->entries) {
      entry.isKnown = false;
      entry.lastContact = Clock::now();
      this->Refetch(name, Clock::now());
    }
  }

  /** Has a worker tell all again from aWhen on; until then nothing is started
   * there. */
  void Refetch(const WorkerName& aName, Instant aWhen)
  {
    const auto found = this->entries.find(aName);
    if (found != this->entries.end()) {
      found->second.refetchAt = std::max(found->second.refetchAt, aWhen);
      found->second.needsAll = true;
      found->second.nextPoll =
        std::min(found->second.nextPoll, found->second.refetchAt);
    }
  }

  /** Takes note of a command's effect before the worker tells of it. */
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
      entry.released.try_emplace(aTask.Name(), Clock::now());
    }
    ++this->changes;
  }

  /** Polls of all workers that are due. */
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

  /** Asks a worker again at aWhen at the latest. */
  void PollBy(const WorkerName& aName, Instant aWhen)
  {
    const auto found = this->entries.find(aName);
    if (found != this->entries.end()) {
      Instant& next = found->second.nextPoll;
      next = std::min(next, aWhen);
    }
  }

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

  /** When a running task was released, as far as this host can tell. */
  Instant Released(const Task& aTask) const
  {
    const auto entry = this->entries.find(aTask.Range().Worker());
    if (entry == this->entries.end()) {
      return Clock::now();
    }
    const auto found = entry->second.released.find(aTask.Name());
    return found == entry->second.released.end() ? Clock::now() : found->second;
  }

  const Worker* Find(const WorkerName& aName) const
  {
    const auto found = this->entries.find(aName);
    return found == this->entries.end() ? nullptr : &found->second.worker;
  }

  /** Workers that did not answer for so long that their tasks count as lost. */
  std::vector<WorkerName> Silent(Instant aNow) const
  {
    std::vector<WorkerName> names;
    for (const auto& [name, entry] : this->entries) {
      if (entry.isKnown &&
          aNow - entry.lastContact > this->timing.TaskLease() / 2) {
        names.push_back(name);
      }
    }
    return names;
  }

  /** Workers on which nothing may be started. */
  std::vector<WorkerName> Unusable() const
  {
    std::vector<WorkerName> names;
    for (const auto& [name, entry] : this->entries) {
      if (!entry.isKnown || entry.hasFailed || entry.needsAll ||
          !entry.isListed) {
        names.push_back(name);
      }
    }
    return names;
  }

  /** Grows with every change. */
  std::int64_t Changes() const { return this->changes; }

private:
  struct Entry
  {
    Worker worker;
    bool isListed = true;
    /** It has told all its tasks since Reset(). */
    bool isKnown = false;
    bool hasFailed = false;
    bool isPolling = false;
    std::int64_t version = 0;
    Instant nextPoll;
    Instant lastContact;
    std::map<TaskName, Task> tasks;
    std::map<TaskName, Instant> released;
    /** When Put() told of a task. */
    std::map<TaskName, Instant> putAt;
    bool needsAll = true;
    Instant refetchAt;
  };

  static constexpr Milliseconds kRetry{ 1000 };

  boost::asio::awaitable<void> Poll(WorkerName aName)
  {
    bool isCurrent = false;
    // A worker renews only for a holder that has seen its whole list, so a list
    // that brought something new is followed by a second call.
    for (int call = 0; call < 2 && !isCurrent; ++call) {
      const Entry& entry = this->entries.at(aName);
      const Worker worker = entry.worker;
      const Instant sent = Clock::now();
      const bool isAll = entry.needsAll && sent >= entry.refetchAt;
      const std::int64_t seen = isAll ? 0 : entry.version;
      Reason reason;
      const std::optional<TaskList> list = co_await this->link->Renew(
        worker, this->timing.TaskLease(), seen, reason);
      if (!list) {
        this->Fail(this->entries.at(aName));
        break;
      }
      isCurrent = list->Version() == seen;
      this->Apply(this->entries.at(aName), *list, sent);
    }
    this->entries.at(aName).isPolling = false;
  }

  void Apply(Entry& aEntry, const TaskList& aList, Instant aSent)
  {
    const Instant now = Clock::now();
    aEntry.lastContact = now;
    aEntry.nextPoll = now + this->timing.TaskPoll();
    const bool isNew =
      aList.Version() != aEntry.version || aEntry.hasFailed || aEntry.needsAll;
    aEntry.hasFailed = false;
    aEntry.version = aList.Version();
    if (aList.Since() == 0) {
      this->Clear(aEntry, aSent);
      aEntry.isKnown = true;
      aEntry.needsAll = aSent < aEntry.refetchAt;
    }
    if (aEntry.needsAll) {
      aEntry.nextPoll = std::max(now, aEntry.refetchAt);
    }
    if (!isNew) {
      return;
    }
    ++this->changes;
    for (const TaskName& name : aList.Gone()) {
      this->Erase(aEntry, name);
    }
    for (const Task& task : aList.Tasks()) {
      aEntry.tasks.insert_or_assign(task.Name(), task);
      if (task.State() == TaskState::kRunning) {
        aEntry.released.try_emplace(task.Name(), now - task.Ran());
      }
    }
  }

  /** Forgets the tasks that a whole list, asked for at aSent, is to tell of. */
  static void Clear(Entry& aEntry, Instant aSent)
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
    aEntry.released.erase(aName);
    aEntry.putAt.erase(aName);
  }

  void Fail(Entry& aEntry)
  {
    const Instant now = Clock::now();
    aEntry.nextPoll = now + kRetry;
    ++this->changes;
    aEntry.hasFailed = true;
    // By then the worker itself has stopped tasks that nobody renews.
    const Milliseconds lapse = this->timing.TaskLease() + this->timing.Margin();
    if (aEntry.isKnown && now - aEntry.lastContact > lapse) {
      this->Clear(aEntry, now);
      aEntry.needsAll = true;
    }
  }

  Link* link;
  HolderTiming timing;
  std::map<WorkerName, Entry> entries;
  std::int64_t changes = 0;
};

}
