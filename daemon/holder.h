#pragma once

#include "daemon/gang_placer.h"
#include "daemon/lease_manager.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sardinecourse {

/**
 * Holds a data centre's racks while its lease lasts: places the waiting jobs,
 * runs their gangs, and records their outcomes. All of it runs on one thread.
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
    , keeper(aContext, aTable, aPeers, aSelf, aDataCentre, aTiming)
    , field(aLink, aTiming)
    , ledger(aTable, aDataCentre)
    , runner(aContext, aLink, this->keeper, this->field, this->ledger, aTiming)
    , placer(aContext, this->field, this->ledger, this->runner)
    , logger(log4cplus::Logger::getInstance("holder"))
  {
  }

  /** Puts settings in force. */
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
    this->keeper.SetHosts(hosts);
    this->keeper.SetTiming(aTiming);
    this->field.SetTiming(aTiming);
    this->field.SetWorkers(aDataCentre.Workers());
    this->runner.SetTiming(aTiming);
    this->placer.Adopt(aDataCentre, aWeights, aQuarantineFailures);
    ++this->settingsChanges;
  }

  /** Starts the loops; they end with the io_context or with Stop(). */
  void Start()
  {
    this->Spawn(this->keeper.Run());
    this->Spawn(this->keeper.RunPromises());
    this->Spawn(this->RunQueue());
    this->Spawn(this->RunRecords());
    this->Spawn(this->Run());
  }

  /** Hands the racks over. */
  boost::asio::awaitable<void> Stop()
  {
    this->isStopping = true;
    co_await this->keeper.Stop();
  }

  /** Answers a holder that asks this host not to take over. */
  bool Promise(const HostName& aHolder, std::int64_t aTerm)
  {
    return this->keeper.Promise(aHolder, aTerm);
  }

  /** Looks at the queue soon: a job was admitted or cancelled here. */
  void Notify()
  {
    this->isNotified = true;
    this->queueTimer.cancel();
  }

  bool Holds() const { return this->keeper.Lease().Holds(); }
  const HolderLease& Lease() const { return this->keeper.Lease(); }
  const JobRecordCache<Table>& Ledger() const { return this->ledger; }
  const DecisionLog& Decisions() const { return this->placer.Decisions(); }

private:
  static constexpr Milliseconds kTick{ 50 };
  /** Between two looks at what changes with time alone. */
  static constexpr Milliseconds kIdleStep{ 1000 };
  static constexpr Milliseconds kRetryRecord{ 500 };
  static constexpr Milliseconds kRetryStop{ 500 };
  static constexpr Milliseconds kEarliestEndPoll{ 20 };
  static constexpr Milliseconds kShortestEndPoll{ 200 };
  static constexpr int kOverdueShare = 4;
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
      const std::int64_t now =
        this->Holds() ? this->keeper.Lease().Row()->Term() : 0;
      if (now != this->term) {
        this->term = now;
        co_await this->Recover(timer);
      } else if (this->term != 0) {
        for (auto& poll : this->field.PollsDue(Clock::now())) {
          this->Spawn(std::move(poll));
        }
        this->Step(Clock::now());
      }
      co_await Sleep(timer, kTick);
    }
  }

  /** Learns from workers and table what runs and what waits. */
  boost::asio::awaitable<void> Recover(boost::asio::steady_timer& aTimer)
  {
    this->isReady = false;
    this->ledger.Reset();
    if (this->term == 0) {
      co_return;
    }
    // Commands that the last holder had under way end within this time.
    if (this->term > 1) {
      co_await Sleep(aTimer, this->timing.CommandTimeout());
    }
    this->field.Reset();
    std::vector<boost::asio::awaitable<void>> polls =
      this->field.PollsDue(Clock::now());
    co_await WhenAll(*this->context, std::move(polls));
    LOG4CPLUS_INFO(this->logger,
                   "recovered term="
                     << this->term << " tasks=" << this->field.Tasks().size()
                     << " unanswered=" << this->field.Unusable().size());
    this->isReady = true;
    this->Notify();
  }

  boost::asio::awaitable<void> RunQueue()
  {
    while (!this->isStopping) {
      this->isNotified = false;
      if (this->isReady && this->Holds()) {
        co_await this->ledger.Refresh();
      }
      if (!this->isNotified) {
        co_await Sleep(this->queueTimer, this->timing.QueuePoll());
      }
    }
  }

  boost::asio::awaitable<void> RunRecords()
  {
    boost::asio::steady_timer timer(*this->context);
    while (!this->isStopping) {
      bool isWritten = false;
      if (this->isReady && this->Holds()) {
        isWritten = co_await this->ledger.WriteOne();
      }
      if (!isWritten) {
        co_await Sleep(timer, kRetryRecord / 5);
      }
    }
  }

  /** Looks at every gang and every waiting job, if anything has changed. */
  void Step(Instant aNow)
  {
    const std::int64_t changes = this->field.Changes() +
                                 this->ledger.Changes() +
                                 this->runner.Changes() + this->settingsChanges;
    const bool isDue = changes != this->seenChanges || aNow >= this->nextStep;
    if (!this->isReady || !this->ledger.IsScanned() || !isDue) {
      return;
    }
    this->seenChanges = changes;
    this->nextStep = aNow + kIdleStep;
    const std::vector<GangStatus> gangs =
      AssessGangs(this->field.Tasks(), this->field.Silent(aNow));
    for (const GangStatus& gang : gangs) {
      if (!this->runner.IsBusy(gang)) {
        this->Handle(gang, aNow);
      }
    }
    if (this->keeper.MayCommand()) {
      this->placer.Place(gangs, this->term, aNow);
    }
  }

  void Handle(const GangStatus& aGang, Instant aNow)
  {
    const auto* entry = this->ledger.Find({ aGang.Team(), aGang.Key() });
    if (entry == nullptr) {
      this->Stop(aGang, "its job has an outcome", aNow);
      return;
    }
    if (IsFinal(entry->record.State())) {
      return;
    }
    switch (aGang.Phase()) {
      case GangPhase::kHeld:
        if (this->keeper.MayCommand()) {
          this->Spawn(this->runner.Release(aGang));
        }
        break;
      case GangPhase::kRunning:
        this->Follow(aGang, entry->record, aNow);
        break;
      case GangPhase::kFinished:
        this->Finish(aGang, entry->record);
        break;
      case GangPhase::kBroken:
        this->Abandon(aGang, entry->record, aNow);
    }
  }

  /** Polls the workers of a gang about when it should end. */
  void Follow(const GangStatus& aGang, const JobRecord& aRecord, Instant aNow)
  {
    if (aRecord.State() == JobState::kAdmitted) {
      this->ledger.Record(Update(aRecord,
                                 JobState::kRunning,
                                 aRecord.Attempts() + 1,
                                 aRecord.Saved(),
                                 ""));
    }
    for (const Task& task : aGang.Tasks()) {
      if (task.State() != TaskState::kRunning) {
        continue;
      }
      const Instant end = this->field.Released(task) + task.RunTime();
      Instant poll = end + kEarliestEndPoll;
      if (aNow >= poll) {
        const auto overdue =
          std::chrono::duration_cast<Milliseconds>(aNow - end);
        poll = aNow + std::clamp(overdue / kOverdueShare,
                                 kShortestEndPoll,
                                 this->timing.TaskPoll());
      }
      this->field.PollBy(task.Range().Worker(), poll);
    }
  }

  void Finish(const GangStatus& aGang, const JobRecord& aRecord)
  {
    LOG4CPLUS_INFO(this->logger,
                   "finished team=" << aGang.Team().Text()
                                    << " job=" << aGang.Key().Text()
                                    << " term=" << aGang.Term()
                                    << " sequence=" << aGang.Sequence());
    this->ledger.Record(Update(aRecord,
                               JobState::kFinished,
                               aRecord.Attempts(),
                               aRecord.Request().DeclaredRunTime(),
                               ""));
  }

  void Abandon(const GangStatus& aGang, const JobRecord& aRecord, Instant aNow)
  {
    const bool isExhausted = aRecord.Attempts() >= kMaxAttempts;
    if (aGang.HasFailure() && isExhausted) {
      this->ledger.Record(Update(aRecord,
                                 JobState::kFailed,
                                 aRecord.Attempts(),
                                 aRecord.Saved(),
                                 "a member ended with an error in each of " +
                                   std::to_string(kMaxAttempts) + " attempts"));
    } else if (aRecord.State() == JobState::kRunning) {
      this->ledger.Record(Update(
        aRecord, JobState::kAdmitted, aRecord.Attempts(), aRecord.Saved(), ""));
    }
    this->Stop(aGang, "it is not whole", aNow);
  }

  void Stop(const GangStatus& aGang, const std::string& aWhy, Instant aNow)
  {
    Instant& notBefore = this->stopNotBefore[aGang.Tasks().front().Name()];
    if (aNow < notBefore || !this->keeper.MayCommand()) {
      return;
    }
    notBefore = aNow + kRetryStop;
    std::erase_if(this->stopNotBefore, [aNow](const auto& aEntry) {
      return aEntry.second + kRetryStop < aNow;
    });
    this->Spawn(this->runner.Stop(aGang, aWhy));
  }

  boost::asio::io_context* context;
  HolderTiming timing;
  LeaseManager<Table, Peers> keeper;
  WorkerTaskCache<Link> field;
  JobRecordCache<Table> ledger;
  GangRunner<Table, Link, Fence> runner;
  boost::asio::steady_timer queueTimer{ *this->context };
  GangPlacer<Table, Link, Fence> placer;
  std::int64_t settingsChanges = 0;

  /** Term of which this host has learned what runs; zero when it holds nothing.
   */
  std::int64_t term = 0;
  bool isReady = false;
  bool isStopping = false;
  bool isNotified = false;
  std::int64_t seenChanges = -1;
  Instant nextStep;
  std::map<TaskName, Instant> stopNotBefore;
  log4cplus::Logger logger;
};

}
