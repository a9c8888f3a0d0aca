#pragma once

#include "contracts/domain_gain.h"
#include "contracts/fencing_token.h"
#include "core/instant.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "links/worker_orders.h"
#include "scheduling/domain_metrics.h"
#include "scheduling/event_line.h"
#include "scheduling/pause.h"
#include "zones/domain_state.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <string>
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

  DomainTerm(boost::asio::io_context& aContext,
             Store& aStore,
             Orders& aOrders,
             DomainTiming aTiming,
             const DomainGain& aGain,
             Callbacks aCallbacks)
    : context(&aContext)
    , store(&aStore)
    , orders(&aOrders)
    , gain(aGain)
    , callbacks(std::move(aCallbacks))
    , domain(aTiming, Clock::now(), aGain.renewedUntil)
    , passTimer(aContext)
  {
  }

  boost::asio::io_context& Context() { return *this->context; }
  Store& Rows() { return *this->store; }
  Orders& Workers() { return *this->orders; }
  std::int64_t Number() const { return this->gain.term; }
  std::int64_t Revision() const { return this->gain.termRevision; }
  /** Number of the fencing token of an order that is sent to the worker now. */
  std::int64_t TokenFor(const WorkerName& aWorker) const
  {
    return FencingToken(this->gain.term, this->domain.FenceOf(aWorker))
      .Number();
  }
  /** See DomainOwner::BoundsKeptSince(). */
  std::int64_t BoundsKeptSince() const { return this->gain.boundsKeptSince; }
  DomainState& Domain() { return this->domain; }
  DomainMetrics& Metrics() { return *this->callbacks.metrics; }
  bool IsActive() const { return this->isActive; }

  /** Whether another process may have taken over. Nothing is started then, even
   * when this process was suspended and has only now continued. */
  bool IsLeaseExpired() const
  {
    return Clock::now() >= this->callbacks.exclusiveUntil();
  }

  /** Whether the lease and its grace time have passed, so that another process
   * may hold the domain. */
  bool IsExclusivityLost() const
  {
    return Clock::now() >=
           this->callbacks.exclusiveUntil() + DomainTiming::kRenewalGrace;
  }

  /** Starts a loop as a coroutine; it must end soon after the term. An
   * exception in it ends the term, so that the next one starts from what is
   * stored. */
  template<typename Loop>
  void Spawn(Loop aLoop)
  {
    boost::asio::co_spawn(
      *this->context,
      [self = this->shared_from_this(),
       aLoop]() -> boost::asio::awaitable<void> { co_await aLoop(); },
      [self = this->shared_from_this()](std::exception_ptr aError) {
        if (aError && self->isActive) {
          self->LoopFailed(aError);
        }
      });
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

  /** Schedules a pass after a short delay; requests until then share it. An
   * exception in the pass ends the term. */
  void RequestPass()
  {
    if (!this->isActive || std::exchange(this->isPassDue, true)) {
      return;
    }
    this->passTimer.expires_after(this->PassDelay());
    this->passTimer.async_wait(
      [self = this->shared_from_this()](const boost::system::error_code&) {
        if (self->isActive) {
          self->RunPass();
        }
      });
  }

  /** Ends all loops; orders that are already being sent are not aborted. */
  void Stop()
  {
    this->isActive = false;
    this->passTimer.cancel();
    this->Metrics().SetIdleJobs({}, Milliseconds(0));
  }

  /** Outcome of an order that carried aToken. A worker that has received a
   * higher token of this term refuses the order, which is no sign of another
   * holder. */
  OrderOutcome OutcomeInTerm(const WorkerName& aWorker,
                             std::int64_t aToken,
                             OrderOutcome aOutcome) const
  {
    const bool isOutdated = aToken != this->TokenFor(aWorker);
    return aOutcome == OrderOutcome::kFenced && isOutdated
             ? OrderOutcome::kRefused
             : aOutcome;
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
        .Field("term", this->gain.term)
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
      .Field("term", this->gain.term)
      .Field("shown_by", aShownBy)
      .Field(aReason)
      .Emit();
    this->Stop();
    this->callbacks.deposed();
  }

private:
  /** Minimum delay between the request and the pass, which batches events that
   * arrive together. */
  static constexpr Milliseconds kMinPassDelay{ 4 };
  /** Maximum delay, so that starts do not wait much longer than a pass takes.
   */
  static constexpr Milliseconds kMaxPassDelay{ 200 };
  /** Delay in durations of the previous pass. It leaves most of the thread's
   * time to the answers of workers and to the store. */
  static constexpr int kPassDelayFactor = 2;

  void RunPass()
  {
    this->isPassDue = false;
    const Instant startedAt = Clock::now();
    try {
      this->runPass();
    } catch (...) {
      this->LoopFailed(std::current_exception());
    }
    this->lastPassDuration = Clock::now() - startedAt;
  }

  void LoopFailed(const std::exception_ptr& aError)
  {
    std::string message = "unknown exception";
    try {
      std::rethrow_exception(aError);
    } catch (const std::exception& error) {
      message = error.what();
    } catch (...) {
    }
    this->Deposed("exception",
                  Reason(Step::kPlacement, "", std::move(message)));
  }

  Milliseconds PassDelay() const
  {
    return std::clamp(
      std::chrono::duration_cast<Milliseconds>(this->lastPassDuration) *
        kPassDelayFactor,
      kMinPassDelay,
      kMaxPassDelay);
  }

  boost::asio::io_context* context;
  Store* store;
  Orders* orders;
  DomainGain gain;
  Callbacks callbacks;
  DomainState domain;
  boost::asio::steady_timer passTimer;
  std::function<void()> runPass;
  bool isActive = true;
  bool isPassDue = false;
  Clock::duration lastPassDuration{ 0 };
};

}
