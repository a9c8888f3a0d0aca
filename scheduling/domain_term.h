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
 * State of one term of the holder of a scheduling domain, shared by its loops:
 * the domain state, the links, and whether the term is active. It is used on
 * one thread only. Each running loop keeps a reference to it.
 */
template<RowStore Store, WorkerOrders Orders>
class DomainTerm
  : public std::enable_shared_from_this<DomainTerm<Store, Orders>>
{
public:
  using StoreLink = Store;
  using OrdersLink = Orders;

  /** Functions and metrics that the owner of the term provides. */
  struct Callbacks
  {
    /** Time until which no other process can hold the domain. */
    std::function<Instant()> exclusiveUntil;
    /** Called when an answer of a worker or the store shows that another
     * process holds the domain. */
    std::function<void()> deposed;
    DomainMetrics* metrics = nullptr;
  };

  /** Pause before a failed call is repeated. */
  static constexpr Milliseconds kRetryPause{ 100 };

  /** aNumber is the term's fencing token, aRevision the revision of the store
   * row that holds it. */
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

  /** Whether the lease and its grace time have passed, so that another process
   * may hold the domain. */
  bool IsExclusivityLost() const
  {
    return Clock::now() >=
           this->callbacks.exclusiveUntil() + DomainTiming::kRenewalGrace;
  }

  /** Starts a loop as a coroutine; it must end soon after the term. */
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

  /** Sets the function that runs a scheduling pass; see RequestPass(). */
  void SetPassHandler(std::function<void()> aRunPass)
  {
    this->runPass = std::move(aRunPass);
  }

  /** Schedules a pass after kPassDelay; requests until then share it. */
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
          self->runPass();
        }
      });
  }

  /** Ends all loops; orders that are already being sent are not aborted. */
  void Stop()
  {
    this->isActive = false;
    this->passTimer.cancel();
  }

  /** If aOutcome shows that the worker was replaced, ends its runs in the
   * domain state and requests a pass, which places them on other workers. */
  void CheckReplaced(const WorkerName& aWorker, OrderOutcome aOutcome)
  {
    const TrackedWorker* worker = this->domain.FindWorker(aWorker);
    const bool isNewlyReplaced = aOutcome == OrderOutcome::kWorkerReplaced &&
                                 worker != nullptr && !worker->IsReplaced();
    if (isNewlyReplaced) {
      EventLine("worker_over")
        .Field("worker", aWorker.Text())
        .Field("tasks", static_cast<std::int64_t>(worker->Tasks().size()))
        .Field("term", this->number)
        .Emit();
      this->domain.WorkerReplaced(aWorker);
      this->RequestPass();
    }
  }

  /** Ends the term because another process is the holder; aShownBy names the
   * call that showed it. */
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
  /** Delay between the request and the pass, which batches events that arrive
   * together. */
  static constexpr Milliseconds kPassDelay{ 4 };

  boost::asio::io_context* context;
  Store* store;
  Orders* orders;
  std::int64_t number;
  std::int64_t revision;
  Callbacks callbacks;
  DomainState domain;
  boost::asio::steady_timer passTimer;
  std::function<void()> runPass;
  bool isActive = true;
  bool isPassDue = false;
};

}
