#pragma once

#include "contracts/domain_policy.h"
#include "contracts/service_catalog.h"
#include "core/reason.h"
#include "core/wall_time.h"
#include "links/row_store.h"
#include "links/worker_orders.h"
#include "scheduling/decision_events.h"
#include "scheduling/domain_feeds.h"
#include "scheduling/domain_maintenance.h"
#include "scheduling/domain_term.h"
#include "scheduling/event_line.h"
#include "scheduling/job_archive.h"
#include "scheduling/lease_bound_writer.h"
#include "scheduling/order_sender.h"
#include "scheduling/platform_schema.h"
#include "scheduling/progress_writer.h"
#include "scheduling/worker_poller.h"
#include "zones/domain_pass.h"
#include "zones/preemption_reservations.h"
#include "zones/waits/idle_job_watch.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <utility>

namespace sardinecourse {

/**
 * Runs one term of the holder of a scheduling domain: it loads and follows the
 * store, polls the workers, runs scheduling passes, stores their results and
 * sends orders to the workers. DomainPass makes the decisions.
 */
template<RowStore Store, WorkerOrders Orders, PlatformSchema Schema>
class DomainHolder : public DomainTerm<Store, Orders>
{
public:
  using Term = DomainTerm<Store, Orders>;
  using Callbacks = typename Term::Callbacks;

  DomainHolder(boost::asio::io_context& aContext,
               Store& aStore,
               Orders& aOrders,
               DomainTiming aTiming,
               DomainPolicy aPolicy,
               const DomainGain& aGain,
               Callbacks aCallbacks)
    : Term(aContext, aStore, aOrders, aTiming, aGain, std::move(aCallbacks))
    , policy(aPolicy)
    , poller(*this)
    , feeds(*this, this->poller)
    , sender(*this)
    , writer(*this, this->sender)
    , boundWriter(*this)
    , maintenance(*this)
    , archive(*this)
  {
    this->SetPassHandler([this] { this->Pass(); });
  }

  /** Starts the loops of the term. */
  void Start(const ServiceCatalog& aCatalog, const EvacuationView& aEvacuations)
  {
    this->Adopt(aCatalog);
    this->Adopt(aEvacuations);
    this->Spawn([this] { return this->Run(); });
  }

  /** Applies the teams' guarantees and the queues' names of a new configuration
   * and requests a scheduling pass. */
  void Adopt(const ServiceCatalog& aCatalog)
  {
    std::map<TeamName, std::int64_t> guarantees;
    for (const TeamAccess& team : aCatalog.Teams()) {
      guarantees[team.Team()] = team.Guaranteed();
    }
    this->Domain().SetGuarantees(std::move(guarantees));
    std::map<QueueAddress, QueueName> queueNames;
    for (const JobQueue& queue : aCatalog.Queues()) {
      queueNames[queue.Address()] = queue.Name();
    }
    this->Domain().SetQueueNames(std::move(queueNames));
    this->RequestPass();
  }

  /** Applies the evacuated data centres as last confirmed, and requests a
   * scheduling pass when they changed. */
  void Adopt(const EvacuationView& aEvacuations)
  {
    const bool isChanged =
      aEvacuations.Closed() != this->Domain().Evacuations().Closed();
    this->Domain().SetEvacuations(aEvacuations);
    if (isChanged) {
      this->RequestPass();
    }
  }

private:
  /** Interval of the passes that run without an event, for changes that only
   * depend on time. */
  static constexpr Milliseconds kPassInterval{ 100 };
  /** Changes of workers' paces of which a pass logs each. */
  static constexpr std::size_t kMaxLoggedPaces = 4;

  boost::asio::awaitable<void> Run()
  {
    bool isLoaded = false;
    while (this->IsActive() && !isLoaded) {
      Reason reason;
      isLoaded = co_await this->boundWriter.Load(reason);
      if (isLoaded) {
        isLoaded = co_await this->feeds.Load(reason);
      }
      if (!isLoaded) {
        EventLine("domain_load_failed")
          .Field("term", this->Number())
          .Field(reason)
          .Emit();
        co_await this->PauseFor(Term::kRetryPause);
      }
    }
    EventLine("domain_loaded")
      .Field("term", this->Number())
      .Field("jobs", static_cast<std::int64_t>(this->Domain().Jobs().size()))
      .Field("workers",
             static_cast<std::int64_t>(this->Domain().Workers().size()))
      .Emit();
    this->Spawn([this] { return this->feeds.FollowJobs(); });
    this->Spawn([this] { return this->feeds.FollowWorkers(); });
    this->Spawn([this] { return this->writer.Run(); });
    this->Spawn([this] { return this->boundWriter.Run(); });
    this->Spawn([this] { return this->maintenance.PublishPending(); });
    this->Spawn([this] { return this->maintenance.PublishUsage(); });
    if (this->policy.IsPaceUsed()) {
      this->Spawn([this] { return this->maintenance.PublishPaces(); });
    }
    if (this->policy.IsRoomShared()) {
      this->Spawn([this] { return this->maintenance.PublishBacklog(); });
    }
    this->Spawn([this] { return this->PassPeriodically(); });
    this->Spawn([this] { return this->archive.ArchiveEndedJobs(); });
    this->Spawn([this] { return this->archive.DeleteOldEntries(); });
    this->Spawn([this] { return this->archive.DeleteOldTombstones(); });
  }

  boost::asio::awaitable<void> PassPeriodically()
  {
    while (this->IsActive()) {
      this->RequestPass();
      co_await this->PauseFor(kPassInterval);
    }
  }

  void Pass()
  {
    if (this->IsExclusivityLost()) {
      return;
    }
    const Instant now = Clock::now();
    this->LogWithheldStarts(now);
    DomainPass pass(
      this->Domain(), this->reservations, now, WallNow(), this->policy);
    PassDecisions decisions = pass.Run();
    this->LogDecisions(decisions);
    this->sender.SendStops(decisions.stops);
    this->sender.Stage(std::move(decisions.starts));
    this->writer.Wake();
    this->ReportIdleJobs(now);
  }

  /** Logs the jobs that have had nothing running for a while. */
  void ReportIdleJobs(Instant aNow)
  {
    for (const IdleJob& idle : this->idleJobs.Observe(this->Domain(), aNow)) {
      LogIdleJob(idle, aNow, this->Number());
    }
    this->Metrics().SetIdleJobs(this->idleJobs.Counts(),
                                this->idleJobs.Longest());
  }

  /** Logs when starts begin to wait for a confirmation of the evacuated data
   * centres, and when they go on. */
  void LogWithheldStarts(Instant aNow)
  {
    const bool areWithheld = this->Domain().AreStartsWithheld(aNow);
    if (std::exchange(this->areStartsWithheld, areWithheld) != areWithheld) {
      EventLine(areWithheld ? "starts_withheld" : "starts_resumed")
        .Field("term", this->Number())
        .Emit();
    }
  }

  void LogDecisions(const PassDecisions& aDecisions)
  {
    for (const PlacedUnit& placed : aDecisions.placed) {
      const std::int32_t priority =
        this->Domain().FindJob(placed.unit.job)->Job().Priority();
      this->Metrics().RecordPlacementWait(priority, placed.waited);
      LogPlaced(placed, priority, this->Number());
    }
    for (const PreemptedUnit& preempted : aDecisions.preempted) {
      this->Metrics().Count(DomainMetrics::Event::kPreemption);
      LogPreempted(preempted, this->Number());
    }
    for (const GivenUpRuns& givenUp : aDecisions.givenUp) {
      this->Metrics().RecordGivenUp(givenUp.runs, givenUp.silent);
      LogGivenUp(givenUp, this->Number());
    }
    this->LogPaceChanges(aDecisions.paceChanges);
    for (const KindPair& pair : aDecisions.disturbances) {
      this->Metrics().Count(DomainMetrics::Event::kDisturbanceChanged);
      LogDisturbance(pair, this->Number());
    }
  }

  /** Logs the first few changes of a pass and the number of all, since most
   * workers change their class at the start of a term. */
  void LogPaceChanges(const std::vector<PaceChange>& aChanges)
  {
    std::size_t logged = 0;
    for (const PaceChange& change : aChanges) {
      this->Metrics().Count(DomainMetrics::Event::kPaceChanged);
      if (logged++ < kMaxLoggedPaces) {
        LogPaceChange(change, this->Number());
      }
    }
    if (!aChanges.empty()) {
      LogPaceCounts(this->Domain().Paces()->CountByClass(),
                    aChanges.size(),
                    this->Number());
    }
  }

  DomainPolicy policy;
  bool areStartsWithheld = false;
  PreemptionReservations reservations;
  IdleJobWatch idleJobs;
  WorkerPoller<Term> poller;
  DomainFeeds<Term, Schema> feeds;
  OrderSender<Term> sender;
  ProgressWriter<Term> writer;
  LeaseBoundWriter<Term> boundWriter;
  DomainMaintenance<Term> maintenance;
  JobArchive<Term> archive;
};

}
