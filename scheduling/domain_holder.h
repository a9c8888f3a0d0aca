#pragma once

#include "contracts/domain_policy.h"
#include "contracts/service_catalog.h"
#include "core/reason.h"
#include "core/wall_time.h"
#include "links/row_store.h"
#include "links/worker_orders.h"
#include "scheduling/decision_events.h"
#include "scheduling/domain_feeds.h"
#include "scheduling/domain_term.h"
#include "scheduling/domain_upkeep.h"
#include "scheduling/event_line.h"
#include "scheduling/order_sender.h"
#include "scheduling/platform_words.h"
#include "scheduling/progress_writer.h"
#include "scheduling/worker_looks.h"
#include "zones/domain_pass.h"
#include "zones/held_room.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <utility>

namespace sardinecourse {

/**
 * The host that holds the scheduling domain, for one term: it reads what is
 * stored, looks at the workers, decides, stores, and gives orders. What it
 * decides is in DomainPass.
 */
template<RowStore Store, WorkerOrders Orders, PlatformWords Words>
class DomainHolder : public DomainTerm<Store, Orders>
{
public:
  using Term = DomainTerm<Store, Orders>;
  using Surroundings = typename Term::Surroundings;

  DomainHolder(boost::asio::io_context& aContext,
               Store& aStore,
               Orders& aOrders,
               DomainTiming aTiming,
               DomainPolicy aPolicy,
               std::int64_t aTerm,
               std::int64_t aTermRevision,
               Surroundings aSurroundings)
    : Term(aContext,
           aStore,
           aOrders,
           aTiming,
           aTerm,
           aTermRevision,
           std::move(aSurroundings))
    , policy(aPolicy)
    , looks(*this)
    , feeds(*this, this->looks)
    , sender(*this)
    , writer(*this, this->sender)
    , upkeep(*this)
  {
    this->OnEvents([this] { this->Pass(); });
  }

  void Start(const ServiceCatalog& aCatalog)
  {
    this->Adopt(aCatalog);
    this->Spawn([this] { return this->Run(); });
  }

  void Adopt(const ServiceCatalog& aCatalog)
  {
    std::map<TeamName, std::int64_t> guarantees;
    for (const TeamAccess& team : aCatalog.Teams()) {
      guarantees[team.Team()] = team.Guaranteed();
    }
    this->Book().SetGuarantees(std::move(guarantees));
    this->Kick();
  }

private:
  /** Passes without an event, for what only time changes. */
  static constexpr Milliseconds kPassInterval{ 100 };

  boost::asio::awaitable<void> Run()
  {
    bool isLoaded = false;
    while (this->IsActive() && !isLoaded) {
      Reason reason;
      isLoaded = co_await this->feeds.Load(reason);
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
      .Field("jobs", static_cast<std::int64_t>(this->Book().Jobs().size()))
      .Field("workers",
             static_cast<std::int64_t>(this->Book().Workers().size()))
      .Emit();
    this->Spawn([this] { return this->feeds.FollowJobs(); });
    this->Spawn([this] { return this->feeds.FollowWorkers(); });
    this->Spawn([this] { return this->writer.Run(); });
    this->Spawn([this] { return this->upkeep.PublishPending(); });
    this->Spawn([this] { return this->PassNowAndThen(); });
    this->Spawn([this] { return this->upkeep.ForgetFinished(); });
  }

  boost::asio::awaitable<void> PassNowAndThen()
  {
    while (this->IsActive()) {
      this->Kick();
      co_await this->PauseFor(kPassInterval);
    }
  }

  void Pass()
  {
    DomainPass pass(
      this->Book(), this->held, Clock::now(), WallNow(), this->policy);
    DomainOrders decided = pass.Run();
    this->NoteDecisions(decided);
    this->sender.SendStops(decided.stops);
    this->sender.Stage(std::move(decided.starts));
    this->writer.Wake();
  }

  void NoteDecisions(const DomainOrders& aOrders)
  {
    for (const PlacedUnit& placed : aOrders.placed) {
      const std::int32_t priority =
        this->Book().FindJob(placed.unit.job)->Job().Priority();
      this->Metrics().Placed(priority, placed.waited);
      LogPlaced(placed, priority, this->Number());
    }
    for (const PreemptedUnit& preempted : aOrders.preempted) {
      this->Metrics().Count(DomainMetrics::Event::kPreemption);
      LogPreempted(preempted, this->Number());
    }
  }

  DomainPolicy policy;
  HeldRoom held;
  WorkerLooks<Term> looks;
  DomainFeeds<Term, Words> feeds;
  OrderSender<Term> sender;
  ProgressWriter<Term> writer;
  DomainUpkeep<Term> upkeep;
};

}
