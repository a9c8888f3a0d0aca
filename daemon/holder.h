#pragma once

#include "daemon/gang_placer.h"
#include "daemon/lease_manager.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sardinecourse {

/**
 * Manages a data centre's racks while this host holds their lease: places the
 * waiting jobs, runs their gangs, and records their outcomes. All methods run
 * on the control thread.
 */
template<PlatformTable Table, WorkerLink Link, PromisePeers Peers>
class Holder
{
public:
  Holder(boost::asio::io_context& aContext,
         Table& aTable,
         Link& aLink,
         Peers& aPeers,
         const HostName& aSelf,
         const DataCentreName& aDataCentre,
         const HolderTiming& aTiming)
    : context(&aContext)
    , timing(aTiming)
    , leaseManager(aContext, aTable, aPeers, aSelf, aDataCentre, aTiming)
    , taskCache(aLink, aTiming)
    , jobRecords(aTable, aDataCentre)
    , runner(aContext,
             aLink,
             this->leaseManager,
             this->taskCache,
             this->jobRecords,
             aTiming)
    , placer(aContext, this->taskCache, this->jobRecords, this->runner)
    , logger(log4cplus::Logger::getInstance("holder"))
  {
  }

  /** Applies settings. */
  void Adopt(const DataCentre& aDataCentre,
             PlacementWeights aWeights,
             std::int64_t aQuarantineFailures,
             const HolderTiming& aTiming)
  {
    std::vector<HostName> hosts;
    for (const EntryHost& host : aDataCentre.EntryHosts()) {
      hosts.push_back(host.Name());
    }
    this->timing = aTiming;
    this->leaseManager.SetHosts(hosts);
    this->leaseManager.SetTiming(aTiming);
    this->taskCache.SetTiming(aTiming);
    this->taskCache.SetWorkers(aDataCentre.Workers());
    this->runner.SetTiming(aTiming);
    this->placer.Adopt(aDataCentre, aWeights, aQuarantineFailures);
    ++this->settingsChanges;
  }

  /** Starts the loops; they end with the io_context or with Stop(). */
  void Start()
  {
    this->Spawn(this->leaseManager.Run());
    this->Spawn(this->leaseManager.RunPromises());
    this->Spawn(this->RefreshQueue());
    this->Spawn(this->WriteRecords());
    this->Spawn(this->Run());
  }

  /** Stops commanding workers and expires the lease, so that another host can
   * take over at once. */
  boost::asio::awaitable<void> Stop()
  {
    this->isStopping = true;
    co_await this->leaseManager.Stop();
  }

  /** Answers a holder that asks this host not to take over from it; true if it
   * promises so. */
  bool Promise(const HostName& aHolder, std::int64_t aTerm)
  {
    return this->leaseManager.Promise(aHolder, aTerm);
  }

  /** Refreshes the queue without waiting for the next poll, because a job was
   * admitted or cancelled. */
  void Notify()
  {
    this->isQueueChanged = true;
    this->queueTimer.cancel();
  }

  bool IsHolder() const { return this->leaseManager.Lease().IsHolder(); }
  const HolderLease& Lease() const { return this->leaseManager.Lease(); }
  const JobRecordCache<Table>& Records() const { return this->jobRecords; }
  const DecisionLog& Decisions() const { return this->placer.Decisions(); }

private:
  static constexpr Milliseconds kTick{ 50 };
  /** Max time between two steps, for conditions that change with time alone. */
  static constexpr Milliseconds kMaxStepInterval{ 1000 };
  static constexpr Milliseconds kRetryRecord{ 500 };
  static constexpr Milliseconds kRetryStop{ 500 };
  static constexpr Milliseconds kEndPollDelay{ 20 };
  static constexpr Milliseconds kMinEndPollInterval{ 200 };
  static constexpr int kOverdueDivisor = 4;
  static constexpr std::int64_t kMaxAttempts = 5;

  using Fence = LeaseManager<Table, Peers>;

  void Spawn(boost::asio::awaitable<void> aTask)
  {
    boost::asio::co_spawn(
      *this->context, std::move(aTask), boost::asio::detached);
  }

  static boost::asio::awaitable<void> Sleep(boost::asio::steady_timer& aTimer,
                                            Milliseconds aTime)
  {
    boost::system::error_code ignored;
    aTimer.expires_after(aTime);
    co_await aTimer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  boost::asio::awaitable<void> Run()
  {
    boost::asio::steady_timer timer(*this->context);
    while (!this->isStopping) {
      const std::int64_t heldTerm =
        this->IsHolder() ? this->leaseManager.Lease().Row()->Term() : 0;
      if (heldTerm != this->term) {
        this->term = heldTerm;
        co_await this->Recover(timer);
      } else if (this->term != 0) {
        for (auto& poll : this->taskCache.PollsDue(Clock::now())) {
          this->Spawn(std::move(poll));
        }
        this->Step(Clock::now());
      }
      co_await Sleep(timer, kTick);
    }
  }

  /** Reloads the running tasks from the workers and the jobs from the table
   * after the term has changed. */
  boost::asio::awaitable<void> Recover(boost::asio::steady_timer& aTimer)
  {
    this->isReady = false;
    this->jobRecords.Reset();
    if (this->term == 0) {
      co_return;
    }
    // Commands that the previous holder had in flight end within this time.
    if (this->term > 1) {
      co_await Sleep(aTimer, this->timing.CommandTimeout());
    }
    this->taskCache.Reset();
    std::vector<boost::asio::awaitable<void>> polls =
      this->taskCache.PollsDue(Clock::now());
    co_await WhenAll(*this->context, std::move(polls));
    LOG4CPLUS_INFO(this->logger,
                   "recovered term="
                     << this->term
                     << " tasks=" << this->taskCache.Tasks().size()
                     << " unanswered=" << this->taskCache.Unusable().size());
    this->isReady = true;
    this->Notify();
  }

  boost::asio::awaitable<void> RefreshQueue()
  {
    while (!this->isStopping) {
      this->isQueueChanged = false;
      if (this->isReady && this->IsHolder()) {
        co_await this->jobRecords.Refresh();
      }
      if (!this->isQueueChanged) {
        co_await Sleep(this->queueTimer, this->timing.QueuePoll());
      }
    }
  }

  boost::asio::awaitable<void> WriteRecords()
  {
    boost::asio::steady_timer timer(*this->context);
    while (!this->isStopping) {
      bool isWritten = false;
      if (this->isReady && this->IsHolder()) {
        isWritten = co_await this->jobRecords.WriteOne();
      }
      if (!isWritten) {
        co_await Sleep(timer, kRetryRecord / 5);
      }
    }
  }

  /** Handles every gang and places waiting jobs, if anything has changed or the
   * max time between two steps has passed. */
  void Step(Instant aNow)
  {
    const std::int64_t changes = this->taskCache.Changes() +
                                 this->jobRecords.Changes() +
                                 this->runner.Changes() + this->settingsChanges;
    const bool isDue =
      changes != this->handledChanges || aNow >= this->nextStep;
    if (!this->isReady || !this->jobRecords.IsScanned() || !isDue) {
      return;
    }
    this->handledChanges = changes;
    this->nextStep = aNow + kMaxStepInterval;
    const std::vector<GangStatus> gangs =
      AssessGangs(this->taskCache.Tasks(), this->taskCache.Unresponsive(aNow));
    for (const GangStatus& gang : gangs) {
      if (!this->runner.IsBusy(gang)) {
        this->HandleGang(gang, aNow);
      }
    }
    if (this->leaseManager.MayCommand()) {
      this->placer.Place(gangs, this->term, aNow);
    }
  }

  void HandleGang(const GangStatus& aGang, Instant aNow)
  {
    const auto* entry = this->jobRecords.Find({ aGang.Team(), aGang.Key() });
    if (entry == nullptr) {
      this->Stop(aGang, "its job already has a final state", aNow);
      return;
    }
    if (IsFinal(entry->record.State())) {
      return;
    }
    switch (aGang.Phase()) {
      case GangPhase::kHeld:
        if (this->leaseManager.MayCommand()) {
          this->Spawn(this->runner.Release(aGang));
        }
        break;
      case GangPhase::kRunning:
        this->PollExpectedEnd(aGang, entry->record, aNow);
        break;
      case GangPhase::kFinished:
        this->HandleFinished(aGang, entry->record);
        break;
      case GangPhase::kBroken:
        this->HandleBroken(aGang, entry->record, aNow);
    }
  }

  /** Schedules polls of a running gang's workers for the time when it should
   * end; the interval grows while the end is overdue. */
  void PollExpectedEnd(const GangStatus& aGang,
                       const JobRecord& aRecord,
                       Instant aNow)
  {
    if (aRecord.State() == JobState::kAdmitted) {
      this->jobRecords.Record(Update(aRecord,
                                     JobState::kRunning,
                                     aRecord.Attempts() + 1,
                                     aRecord.Saved(),
                                     ""));
    }
    for (const Task& task : aGang.Tasks()) {
      if (task.State() != TaskState::kRunning) {
        continue;
      }
      const Instant end = this->taskCache.ReleasedAt(task) + task.RunTime();
      Instant poll = end + kEndPollDelay;
      if (aNow >= poll) {
        const auto overdue =
          std::chrono::duration_cast<Milliseconds>(aNow - end);
        poll = aNow + std::clamp(overdue / kOverdueDivisor,
                                 kMinEndPollInterval,
                                 this->timing.TaskPoll());
      }
      this->taskCache.PollBy(task.Range().Worker(), poll);
    }
  }

  void HandleFinished(const GangStatus& aGang, const JobRecord& aRecord)
  {
    LOG4CPLUS_INFO(this->logger,
                   "finished team=" << aGang.Team().Text()
                                    << " job=" << aGang.Key().Text()
                                    << " term=" << aGang.Term()
                                    << " sequence=" << aGang.Sequence());
    this->jobRecords.Record(Update(aRecord,
                                   JobState::kFinished,
                                   aRecord.Attempts(),
                                   aRecord.Request().DeclaredRunTime(),
                                   ""));
  }

  void HandleBroken(const GangStatus& aGang,
                    const JobRecord& aRecord,
                    Instant aNow)
  {
    const bool isExhausted = aRecord.Attempts() >= kMaxAttempts;
    if (aGang.HasFailure() && isExhausted) {
      this->jobRecords.Record(
        Update(aRecord,
               JobState::kFailed,
               aRecord.Attempts(),
               aRecord.Saved(),
               "a member ended with an error in each of " +
                 std::to_string(kMaxAttempts) + " attempts"));
    } else if (aRecord.State() == JobState::kRunning) {
      this->jobRecords.Record(Update(
        aRecord, JobState::kAdmitted, aRecord.Attempts(), aRecord.Saved(), ""));
    }
    this->Stop(aGang, "a member has failed or is missing", aNow);
  }

  void Stop(const GangStatus& aGang, const std::string& aReason, Instant aNow)
  {
    Instant& notBefore = this->stopNotBefore[aGang.Tasks().front().Name()];
    if (aNow < notBefore || !this->leaseManager.MayCommand()) {
      return;
    }
    notBefore = aNow + kRetryStop;
    std::erase_if(this->stopNotBefore, [aNow](const auto& aEntry) {
      return aEntry.second + kRetryStop < aNow;
    });
    this->Spawn(this->runner.Stop(aGang, aReason));
  }

  boost::asio::io_context* context;
  HolderTiming timing;
  LeaseManager<Table, Peers> leaseManager;
  WorkerTaskCache<Link> taskCache;
  JobRecordCache<Table> jobRecords;
  GangRunner<Table, Link, Fence> runner;
  boost::asio::steady_timer queueTimer{ *this->context };
  GangPlacer<Table, Link, Fence> placer;
  std::int64_t settingsChanges = 0;

  /** Term whose tasks were loaded from the workers; zero while this host does
   * not hold the lease. */
  std::int64_t term = 0;
  bool isReady = false;
  bool isStopping = false;
  bool isQueueChanged = false;
  std::int64_t handledChanges = -1;
  Instant nextStep;
  std::map<TaskName, Instant> stopNotBefore;
  log4cplus::Logger logger;
};

}
