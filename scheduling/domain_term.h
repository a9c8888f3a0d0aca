#pragma once

#include "core/instant.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "links/worker_orders.h"
#include "scheduling/domain_metrics.h"
#include "scheduling/event_line.h"
#include "scheduling/pause.h"
#include "zones/domain_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace sardinecourse {

/**
 * One term of the holder of a scheduling domain, which its loops share: the
 * book, the links, and whether the term goes on. All of it is used on one
 * thread. A loop keeps it alive until it has ended.
 */
template<RowStore Store, WorkerOrders Orders>
class DomainTerm
  : public std::enable_shared_from_this<DomainTerm<Store, Orders>>
{
public:
  using StoreLink = Store;
  using OrdersLink = Orders;

  /** What the holder asks of its surroundings. */
  struct Callbacks
  {
    /** Until when no other process can hold the domain. */
    std::function<Instant()> exclusiveUntil;
    /** A worker or the store showed that another process holds the domain. */
    std::function<void()> deposed;
    DomainMetrics* metrics = nullptr;
  };

  /** A call that failed is made again after this time. */
  static constexpr Milliseconds kRetryPause{ 100 };

  /** aNumber is the fencing token, aRevision that of the row which holds it. */
  DomainTerm(boost::asio::io_context& aContext,
             Store& aStore,
             Orders& aOrders,
             DomainTiming aTiming,
             std::int64_t aNumber,
             std::int64_t aRevision,
             Callbacks aCallbacks)
    : context(&aContext)
    , store(&aStore)
    , orders(&aOrders)
    , number(aNumber)
    , revision(aRevision)
    , callbacks(std::move(aCallbacks))
    , domain(aTiming, Clock::now())
    , passTimer(aContext)
  {
  }

  boost::asio::io_context& Context() { return *this->context; }
  Store& Rows() { return *this->store; }
  Orders& Workers() { return *this->orders; }
  std::int64_t Number() const { return this->number; }
  std::int64_t Revision() const { return this->revision; }
  DomainState& Domain() { return this->domain; }
  DomainMetrics& Metrics() { return *this->callbacks.metrics; }
  bool IsActive() const { return this->isActive; }

  /** Whether another process may hold the domain by now. */
  bool IsExclusivityLost() const
  {
    return Clock::now() >=
           this->callbacks.exclusiveUntil() + DomainTiming::kRenewalGrace;
  }

  /** Runs a loop, which must end soon after the term. */
  template<typename Loop>
  void Spawn(Loop aLoop)
  {
    boost::asio::co_spawn(
      *this->context,
      [self = this->shared_from_this(),
       aLoop]() -> boost::asio::awaitable<void> { co_await aLoop(); },
      boost::asio::detached);
  }

  boost::asio::awaitable<void> PauseFor(Milliseconds aTime)
  {
    return Pause(*this->context, aTime);
  }

  /** What decides, called by Kick(). */
  void OnEvents(std::function<void()> aDecide)
  {
    this->decide = std::move(aDecide);
  }

  /** Decides soon, together with other events of these milliseconds. */
  void RequestPass()
  {
    if (!this->isActive || std::exchange(this->isPassDue, true)) {
      return;
    }
    this->passTimer.expires_after(kPassDelay);
    this->passTimer.async_wait(
      [self = this->shared_from_this()](const boost::system::error_code&) {
        if (self->isActive) {
          self->isPassDue = false;
          self->decide();
        }
      });
  }

  /** Ends all loops; orders on their way are still sent. */
  void Stop()
  {
    this->isActive = false;
    this->passTimer.cancel();
  }

  /** What ran on a worker that is over is started elsewhere at once. */
  void CheckReplaced(const WorkerName& aWorker, OrderOutcome aOutcome)
  {
    const TrackedWorker* worker = this->domain.FindWorker(aWorker);
    const bool isNews = aOutcome == OrderOutcome::kWorkerReplaced &&
                        worker != nullptr && !worker->IsReplaced();
    if (isNews) {
      EventLine("worker_over")
        .Field("worker", aWorker.Text())
        .Field("tasks", static_cast<std::int64_t>(worker->Tasks().size()))
        .Field("term", this->number)
        .Emit();
      this->domain.WorkerReplaced(aWorker);
      this->RequestPass();
    }
  }

  /** aShownBy says which call showed that another process is the holder. */
  void Deposed(const char* aShownBy, const Reason& aReason)
  {
    EventLine("domain_deposed")
      .Field("term", this->number)
      .Field("shown_by", aShownBy)
      .Field(aReason)
      .Emit();
    this->Stop();
    this->callbacks.deposed();
  }

private:
  /** Events that come together are decided on together. */
  static constexpr Milliseconds kPassDelay{ 4 };

  boost::asio::io_context* context;
  Store* store;
  Orders* orders;
  std::int64_t number;
  std::int64_t revision;
  Callbacks callbacks;
  DomainState domain;
  boost::asio::steady_timer passTimer;
  std::function<void()> decide;
  bool isActive = true;
  bool isPassDue = false;
};

}
