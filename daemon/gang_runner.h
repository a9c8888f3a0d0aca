#pragma once

#include "core/reason.h"
#include "daemon/gang_control.h"
#include "daemon/job_record_cache.h"
#include "daemon/worker_task_cache.h"
#include "machines/task_builder.h"
#include "zones/gang_placement.h"
#include "zones/gang_status.h"

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace sardinecourse {

/** A copy of a task in another state. */
inline Task
InState(const Task& aTask, TaskState aState)
{
  Reason reason;
  TaskBuilder builder;
  builder.Name(aTask.Name()).Team(aTask.Team()).Key(aTask.Key());
  builder.Term(aTask.Term()).Sequence(aTask.Sequence());
  builder.Member(aTask.Member()).Members(aTask.Members());
  builder.Range(aTask.Range()).Cores(aTask.Cores()).Memory(aTask.Memory());
  builder.Urgent(aTask.Urgent()).RunTime(aTask.RunTime());
  builder.Ran(aTask.Ran()).Saved(aTask.Saved()).Lease(aTask.Lease());
  return builder.State(aState).Build(reason).value_or(aTask);
}

/**
 * Carries out scheduling decisions: starts, releases, stops and preempts gangs.
 * While an operation on a gang is in progress, IsBusy() is true and the caller
 * starts no other operation on that gang.
 */
template<PlatformTable Table, WorkerLink Link, CommandFence Fence>
class GangRunner
{
public:
  using Attempt = std::tuple<JobIdentity, std::int64_t, std::int64_t>;

  GangRunner(boost::asio::io_context& aContext,
             Link& aLink,
             const Fence& aFence,
             WorkerTaskCache<Link>& aTaskCache,
             JobRecordCache<Table>& aJobRecords,
             HolderTiming aTiming)
    : control(aContext,
              aLink,
              aFence,
              [&aTaskCache](const WorkerName& aName) {
                return aTaskCache.Find(aName);
              })
    , taskCache(&aTaskCache)
    , jobRecords(&aJobRecords)
    , timing(aTiming)
    , logger(log4cplus::Logger::getInstance("gang"))
  {
  }

  void SetTiming(const HolderTiming& aTiming) { this->timing = aTiming; }

  /** True while an operation on the gang, or the start of it, is in progress.
   */
  bool IsBusy(const GangStatus& aGang) const
  {
    return this->busyAttempts.contains(AttemptOf(aGang));
  }
  bool IsStarting(const JobIdentity& aJob) const
  {
    return this->starting.contains(aJob);
  }
  /** Members of the gangs being started; workers may not report them yet. */
  std::vector<Task> Starting() const
  {
    std::vector<Task> tasks;
    for (const auto& [job, members] : this->starting) {
      tasks.insert(tasks.end(), members.begin(), members.end());
    }
    return tasks;
  }
  /** Consecutive starts that each worker refused or did not answer. */
  const std::map<WorkerName, std::int32_t>& Failures() const
  {
    return this->failures;
  }
  /** Counter that increases whenever the state above changes. */
  std::int64_t Changes() const { return this->changes; }

  /** Creates the tasks of a new attempt and marks its job as being started, so
   * that it is not placed again. */
  std::vector<Task> Prepare(const JobRecord& aRecord,
                            const GangPlacement& aPlacement,
                            std::int64_t aTerm)
  {
    std::vector<Task> tasks = this->MakeTasks(aRecord, aPlacement, aTerm);
    this->starting.insert_or_assign(IdentityOf(tasks.front()), tasks);
    this->busyAttempts.insert(AttemptOf(tasks.front()));
    ++this->changes;
    return tasks;
  }

  /** Starts all members in the held state, then releases them together. If any
   * command fails, all members are stopped and the job waits again. */
  boost::asio::awaitable<void> Start(std::vector<Task> aTasks)
  {
    const JobIdentity job = IdentityOf(aTasks.front());
    const Attempt attempt = AttemptOf(aTasks.front());
    const std::vector<MemberResult> held = co_await this->control.Hold(aTasks);
    this->CountFailures(held);
    bool isStarted = AllDone(held);
    if (isStarted) {
      this->CacheState(aTasks, TaskState::kHeld);
      isStarted = co_await this->ReleaseAll(aTasks);
    } else {
      this->RefetchUncertain(held);
      co_await this->StopMembers(aTasks);
    }
    LOG4CPLUS_INFO(this->logger,
                   (isStarted ? "started" : "not started")
                     << " team=" << job.team.Text() << " job=" << job.key.Text()
                     << " members=" << aTasks.size()
                     << " term=" << aTasks.front().Term()
                     << " sequence=" << aTasks.front().Sequence());
    this->CountAttempt(job, isStarted);
    this->starting.erase(job);
    this->busyAttempts.erase(attempt);
    ++this->changes;
  }

  /** Releases a gang of which some members are still held, for example after a
   * takeover. */
  boost::asio::awaitable<void> Release(GangStatus aGang)
  {
    const Attempt attempt = AttemptOf(aGang);
    this->busyAttempts.insert(attempt);
    const std::vector<Task>& tasks = aGang.Tasks();
    const bool isReleased = co_await this->ReleaseAll(tasks);
    LOG4CPLUS_INFO(this->logger,
                   "released recovered team=" << aGang.Team().Text()
                                              << " job=" << aGang.Key().Text()
                                              << " whole=" << isReleased);
    this->busyAttempts.erase(attempt);
    ++this->changes;
  }

  /** Stops all members of a gang; workers delete the tasks that have ended. */
  boost::asio::awaitable<void> Stop(GangStatus aGang, std::string aReason)
  {
    const Attempt attempt = AttemptOf(aGang);
    this->busyAttempts.insert(attempt);
    LOG4CPLUS_INFO(this->logger,
                   "stopping team=" << aGang.Team().Text()
                                    << " job=" << aGang.Key().Text()
                                    << " term=" << aGang.Term()
                                    << " sequence=" << aGang.Sequence()
                                    << " reason=\"" << aReason << "\"");
    const std::vector<Task>& tasks = aGang.Tasks();
    co_await this->StopMembers(tasks);
    this->busyAttempts.erase(attempt);
    ++this->changes;
  }

  /** Checkpoints a gang within the checkpoint grace, stops it, and returns its
   * job to the waiting jobs with the progress that was saved. */
  boost::asio::awaitable<void> Preempt(GangStatus aGang, std::string aReason)
  {
    const Attempt attempt = AttemptOf(aGang);
    this->busyAttempts.insert(attempt);
    const std::vector<Task>& tasks = aGang.Tasks();
    const Milliseconds grace = this->timing.CheckpointGrace();
    const Milliseconds saved = co_await this->control.Checkpoint(tasks, grace);
    const JobIdentity job = IdentityOf(tasks.front());
    const auto* entry = this->jobRecords->Find(job);
    if (entry != nullptr && !IsFinal(entry->record.State())) {
      const JobRecord& record = entry->record;
      this->jobRecords->Record(Update(record,
                                      JobState::kAdmitted,
                                      record.Attempts(),
                                      std::max(saved, record.Saved()),
                                      ""));
    }
    LOG4CPLUS_INFO(this->logger,
                   "preempted team=" << job.team.Text()
                                     << " job=" << job.key.Text()
                                     << " saved_ms=" << saved.count()
                                     << " reason=\"" << aReason << "\"");
    co_await this->StopMembers(tasks);
    this->busyAttempts.erase(attempt);
    ++this->changes;
  }

private:
  static JobIdentity IdentityOf(const Task& aTask)
  {
    return { aTask.Team(), aTask.Key() };
  }
  static Attempt AttemptOf(const Task& aTask)
  {
    return { IdentityOf(aTask), aTask.Term(), aTask.Sequence() };
  }
  static Attempt AttemptOf(const GangStatus& aGang)
  {
    return AttemptOf(aGang.Tasks().front());
  }

  std::vector<Task> MakeTasks(const JobRecord& aRecord,
                              const GangPlacement& aPlacement,
                              std::int64_t aTerm)
  {
    const Job& job = aRecord.Request();
    const std::int64_t attemptNumber = ++this->sequence;
    const auto count = static_cast<std::int32_t>(aPlacement.Members().size());
    const Milliseconds remaining =
      std::max(Milliseconds(0), job.DeclaredRunTime() - aRecord.Saved());
    std::vector<Task> tasks;
    for (std::int32_t index = 0; index < count; ++index) {
      const std::string name = "t" + std::to_string(aTerm) + "." +
                               std::to_string(attemptNumber) + "." +
                               std::to_string(index);
      Reason reason;
      TaskBuilder builder;
      builder.Name(TaskName(name)).Team(job.Team()).Key(job.Key());
      builder.Term(aTerm).Sequence(attemptNumber).Member(index).Members(count);
      builder.Range(aPlacement.Members()[index]).Cores(job.CoresPerMember());
      builder.Memory(job.MemoryPerMember())
        .Urgent(job.Urgent())
        .RunTime(remaining);
      builder.Saved(aRecord.Saved()).Lease(this->timing.TaskLease());
      tasks.push_back(builder.Build(reason).value_or(Task()));
    }
    return tasks;
  }

  boost::asio::awaitable<bool> ReleaseAll(std::vector<Task> aTasks)
  {
    const std::vector<MemberResult> released =
      co_await this->control.Release(aTasks);
    if (AllDone(released)) {
      this->CacheState(aTasks, TaskState::kRunning);
      co_return true;
    }
    co_await this->StopMembers(aTasks);
    co_return false;
  }

  /** Stops all members. Until the workers report their outcome, members count
   * as running. */
  boost::asio::awaitable<void> StopMembers(std::vector<Task> aTasks)
  {
    for (const Task& task : aTasks) {
      if (OccupiesAccelerators(task.State())) {
        this->taskCache->Put(InState(task, TaskState::kStopping));
      }
    }
    const std::vector<MemberResult> results =
      co_await this->control.Stop(aTasks);
    for (const MemberResult& result : results) {
      const bool isDone = result.outcome == CommandOutcome::kDone;
      const Milliseconds delay =
        isDone ? Milliseconds(0) : 2 * this->timing.CommandTimeout();
      this->taskCache->Refetch(result.task.Range().Worker(),
                               Clock::now() + delay);
    }
  }

  void CacheState(const std::vector<Task>& aTasks, TaskState aState)
  {
    for (const Task& task : aTasks) {
      this->taskCache->Put(InState(task, aState));
    }
  }

  /** Refetches the tasks of workers on which the outcome of a start is unknown.
   * Such a start can still take effect within the command timeout; the delay is
   * twice that. */
  void RefetchUncertain(const std::vector<MemberResult>& aResults)
  {
    for (const MemberResult& result : aResults) {
      if (result.outcome == CommandOutcome::kNotKnown) {
        this->taskCache->Refetch(result.task.Range().Worker(),
                                 Clock::now() +
                                   2 * this->timing.CommandTimeout());
      }
    }
  }

  void CountFailures(const std::vector<MemberResult>& aResults)
  {
    for (const MemberResult& result : aResults) {
      const WorkerName& worker = result.task.Range().Worker();
      if (result.outcome == CommandOutcome::kDone) {
        this->failures.erase(worker);
      } else if (result.isSent) {
        ++this->failures[worker];
      }
    }
  }

  void CountAttempt(const JobIdentity& aJob, bool aIsStarted)
  {
    const auto* entry = this->jobRecords->Find(aJob);
    if (entry == nullptr || IsFinal(entry->record.State()) || !aIsStarted) {
      return;
    }
    const JobRecord& record = entry->record;
    this->jobRecords->Record(Update(
      record, JobState::kRunning, record.Attempts() + 1, record.Saved(), ""));
  }

  GangControl<Link, Fence> control;
  WorkerTaskCache<Link>* taskCache;
  JobRecordCache<Table>* jobRecords;
  HolderTiming timing;
  std::set<Attempt> busyAttempts;
  std::map<JobIdentity, std::vector<Task>> starting;
  std::map<WorkerName, std::int32_t> failures;
  std::int64_t sequence = 0;
  std::int64_t changes = 0;
  log4cplus::Logger logger;
};

}
