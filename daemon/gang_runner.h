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

/** A task in another state. */
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
 * Carries out what was decided of one gang at a time: start, release, stop,
 * preempt. While it works on a gang nothing else touches that gang.
 */
template<PlatformTable Table, WorkerLink Link, CommandFence Fence>
class GangRunner
{
public:
  using Attempt = std::tuple<JobIdentity, std::int64_t, std::int64_t>;

  GangRunner(boost::asio::io_context& aContext,
             Link& aLink,
             const Fence& aFence,
             WorkerTaskCache<Link>& aField,
             JobRecordCache<Table>& aLedger,
             HolderTiming aTiming)
    : control(aContext,
              aLink,
              aFence,
              [&aField](const WorkerName& aName) { return aField.Find(aName); })
    , field(&aField)
    , ledger(&aLedger)
    , timing(aTiming)
    , logger(log4cplus::Logger::getInstance("gang"))
  {
  }

  void SetTiming(const HolderTiming& aTiming) { this->timing = aTiming; }

  /** True while the gang, or a start of its job, is being worked on. */
  bool IsBusy(const GangStatus& aGang) const
  {
    return this->busy.contains(AttemptOf(aGang));
  }
  bool IsStarting(const JobIdentity& aJob) const
  {
    return this->starting.contains(aJob);
  }
  /** Members of the gangs being started, which workers may not list yet. */
  std::vector<Task> Starting() const
  {
    std::vector<Task> tasks;
    for (const auto& [job, members] : this->starting) {
      tasks.insert(tasks.end(), members.begin(), members.end());
    }
    return tasks;
  }
  /** Starts in a row that each worker refused or left unanswered. */
  const std::map<WorkerName, std::int32_t>& Failures() const
  {
    return this->failures;
  }
  std::int64_t Changes() const { return this->changes; }

  /** Takes the job for started, so that it is not placed again. */
  std::vector<Task> Prepare(const JobRecord& aRecord,
                            const GangPlacement& aPlacement,
                            std::int64_t aTerm)
  {
    std::vector<Task> tasks = this->Members(aRecord, aPlacement, aTerm);
    this->starting.insert_or_assign(IdentityOf(tasks.front()), tasks);
    this->busy.insert(AttemptOf(tasks.front()));
    ++this->changes;
    return tasks;
  }

  /** Starts all members held, then releases them together. On any failure all
   * are stopped, and the job waits again. */
  boost::asio::awaitable<void> Start(std::vector<Task> aTasks)
  {
    const JobIdentity job = IdentityOf(aTasks.front());
    const Attempt attempt = AttemptOf(aTasks.front());
    const std::vector<MemberResult> held = co_await this->control.Hold(aTasks);
    this->CountFailures(held);
    bool isStarted = AllDone(held);
    if (isStarted) {
      this->PutAll(aTasks, TaskState::kHeld);
      isStarted = co_await this->ReleaseAll(aTasks);
    } else {
      this->PutUncertain(held);
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
    this->busy.erase(attempt);
    ++this->changes;
  }

  /** Releases a gang of which some members are still held. */
  boost::asio::awaitable<void> Release(GangStatus aGang)
  {
    const Attempt attempt = AttemptOf(aGang);
    this->busy.insert(attempt);
    const std::vector<Task>& tasks = aGang.Tasks();
    const bool isReleased = co_await this->ReleaseAll(tasks);
    LOG4CPLUS_INFO(this->logger,
                   "released adopted team=" << aGang.Team().Text()
                                            << " job=" << aGang.Key().Text()
                                            << " whole=" << isReleased);
    this->busy.erase(attempt);
    ++this->changes;
  }

  /** Stops what runs of a gang, and has the workers forget what has ended. */
  boost::asio::awaitable<void> Stop(GangStatus aGang, std::string aWhy)
  {
    const Attempt attempt = AttemptOf(aGang);
    this->busy.insert(attempt);
    LOG4CPLUS_INFO(this->logger,
                   "stopping team=" << aGang.Team().Text()
                                    << " job=" << aGang.Key().Text()
                                    << " term=" << aGang.Term()
                                    << " sequence=" << aGang.Sequence()
                                    << " reason=\"" << aWhy << "\"");
    const std::vector<Task>& tasks = aGang.Tasks();
    co_await this->StopMembers(tasks);
    this->busy.erase(attempt);
    ++this->changes;
  }

  /** Checkpoints a gang within the grace, stops it, and puts its job back to
   * wait with the progress that was saved. */
  boost::asio::awaitable<void> Preempt(GangStatus aGang, std::string aWhy)
  {
    const Attempt attempt = AttemptOf(aGang);
    this->busy.insert(attempt);
    const std::vector<Task>& tasks = aGang.Tasks();
    const Milliseconds grace = this->timing.CheckpointGrace();
    const Milliseconds saved = co_await this->control.Checkpoint(tasks, grace);
    const JobIdentity job = IdentityOf(tasks.front());
    const auto* entry = this->ledger->Find(job);
    if (entry != nullptr && !IsFinal(entry->record.State())) {
      const JobRecord& record = entry->record;
      this->ledger->Record(Update(record,
                                  JobState::kAdmitted,
                                  record.Attempts(),
                                  std::max(saved, record.Saved()),
                                  ""));
    }
    LOG4CPLUS_INFO(this->logger,
                   "preempted team=" << job.team.Text()
                                     << " job=" << job.key.Text()
                                     << " saved_ms=" << saved.count()
                                     << " reason=\"" << aWhy << "\"");
    co_await this->StopMembers(tasks);
    this->busy.erase(attempt);
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

  std::vector<Task> Members(const JobRecord& aRecord,
                            const GangPlacement& aPlacement,
                            std::int64_t aTerm)
  {
    const Job& job = aRecord.Request();
    const std::int64_t number = ++this->sequence;
    const auto count = static_cast<std::int32_t>(aPlacement.Members().size());
    const Milliseconds left =
      std::max(Milliseconds(0), job.DeclaredRunTime() - aRecord.Saved());
    std::vector<Task> tasks;
    for (std::int32_t index = 0; index < count; ++index) {
      const std::string name = "t" + std::to_string(aTerm) + "." +
                               std::to_string(number) + "." +
                               std::to_string(index);
      Reason reason;
      TaskBuilder builder;
      builder.Name(TaskName(name)).Team(job.Team()).Key(job.Key());
      builder.Term(aTerm).Sequence(number).Member(index).Members(count);
      builder.Range(aPlacement.Members()[index]).Cores(job.CoresPerMember());
      builder.Memory(job.MemoryPerMember()).Urgent(job.Urgent()).RunTime(left);
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
      this->PutAll(aTasks, TaskState::kRunning);
      co_return true;
    }
    co_await this->StopMembers(aTasks);
    co_return false;
  }

  /** Stops all members. Until the workers have told what became of them, they
   * count as there. */
  boost::asio::awaitable<void> StopMembers(std::vector<Task> aTasks)
  {
    for (const Task& task : aTasks) {
      if (OccupiesAccelerators(task.State())) {
        this->field->Put(InState(task, TaskState::kStopping));
      }
    }
    const std::vector<MemberResult> results =
      co_await this->control.Stop(aTasks);
    for (const MemberResult& result : results) {
      const bool isDone = result.outcome == CommandOutcome::kDone;
      const Milliseconds delay =
        isDone ? Milliseconds(0) : 2 * this->timing.CommandTimeout();
      this->field->Refetch(result.task.Range().Worker(), Clock::now() + delay);
    }
  }

  void PutAll(const std::vector<Task>& aTasks, TaskState aState)
  {
    for (const Task& task : aTasks) {
      this->field->Put(InState(task, aState));
    }
  }

  /** A start of unknown outcome can still take effect for the length of a
   * command. */
  void PutUncertain(const std::vector<MemberResult>& aResults)
  {
    for (const MemberResult& result : aResults) {
      if (result.outcome == CommandOutcome::kNotKnown) {
        this->field->Refetch(result.task.Range().Worker(),
                             Clock::now() + 2 * this->timing.CommandTimeout());
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
    const auto* entry = this->ledger->Find(aJob);
    if (entry == nullptr || IsFinal(entry->record.State()) || !aIsStarted) {
      return;
    }
    const JobRecord& record = entry->record;
    this->ledger->Record(Update(
      record, JobState::kRunning, record.Attempts() + 1, record.Saved(), ""));
  }

  GangControl<Link, Fence> control;
  WorkerTaskCache<Link>* field;
  JobRecordCache<Table>* ledger;
  HolderTiming timing;
  std::set<Attempt> busy;
  std::map<JobIdentity, std::vector<Task>> starting;
  std::map<WorkerName, std::int32_t> failures;
  std::int64_t sequence = 0;
  std::int64_t changes = 0;
  log4cplus::Logger logger;
};

}
