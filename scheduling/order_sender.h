#pragma once

#include "core/reason.h"
#include "links/worker_orders.h"
#include "scheduling/decision_events.h"
#include "scheduling/domain_metrics.h"
#include "zones/domain_state.h"
#include "zones/start_order.h"
#include "zones/stop_order.h"

#include <boost/asio/awaitable.hpp>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Sends a term's orders to the workers. A start is held back until the
 * progress that records it is stored. */
template<typename Term>
class OrderSender
{
public:
  explicit OrderSender(Term& aTerm)
    : term(&aTerm)
  {
  }

  /** Sends stops at once, all of them concurrently. */
  void SendStops(const std::vector<StopOrder>& aStops)
  {
    for (const StopOrder& stop : aStops) {
      this->term->Spawn([this, stop] { return this->SendStop(stop); });
    }
  }

  /** Keeps starts until SendStored() finds their progress stored. */
  void Stage(std::vector<StartOrder> aStarts)
  {
    std::move(aStarts.begin(), aStarts.end(), std::back_inserter(this->staged));
  }

  /** Sends the held starts whose progress is stored; none while starts are
   * withheld. */
  void SendStored()
  {
    if (this->term->Domain().AreStartsWithheld(Clock::now())) {
      return;
    }
    std::vector<StartOrder> waiting;
    for (StartOrder& start : this->staged) {
      const TrackedJob* job = this->term->Domain().FindJob(start.Task().Job());
      if (job != nullptr && !job->Final() &&
          job->StoredVersion() < start.JobVersion()) {
        waiting.push_back(std::move(start));
        continue;
      }
      this->term->Spawn([this, start] { return this->SendStart(start); });
    }
    this->staged = std::move(waiting);
  }

private:
  boost::asio::awaitable<void> SendStart(StartOrder aStart)
  {
    const bool isAllowed =
      this->term->IsActive() && !this->term->IsLeaseExpired();
    const auto deadlineMs =
      isAllowed ? this->term->Domain().StartDeadlineMs(aStart, Clock::now())
                : std::nullopt;
    if (!deadlineMs) {
      this->NoteDropped(aStart);
      this->term->Domain().StartDropped(aStart);
      co_return;
    }
    const WorkerListing listing =
      this->term->Domain().FindWorker(aStart.Worker())->Listing();
    const std::string payload =
      this->term->Domain().FindJob(aStart.Task().Job())->Job().Plan().Payload();
    const std::int64_t token = this->term->TokenFor(aStart.Worker());
    Reason reason;
    const OrderOutcome answered = co_await this->term->Workers().Start(
      listing, aStart, payload, *deadlineMs, token, reason);
    if (!this->term->IsActive()) {
      co_return;
    }
    const OrderOutcome outcome =
      this->term->OutcomeInTerm(aStart.Worker(), token, answered);
    LogStart(aStart, this->term->Number(), outcome, reason);
    this->ApplyStartOutcome(aStart, outcome, reason);
    if (outcome != OrderOutcome::kDone) {
      this->term->RequestPass();
    }
  }

  void NoteDropped(const StartOrder& aStart)
  {
    const StartAdmission admission =
      this->term->Domain().AdmitStartOn(aStart.Worker(), Clock::now());
    if (admission != StartAdmission::kOpen) {
      this->term->Metrics().Count(DomainMetrics::Event::kStartWithheld);
      LogWithheld(aStart, this->term->Number(), admission);
    }
  }

  void ApplyStartOutcome(const StartOrder& aStart,
                         OrderOutcome aOutcome,
                         const Reason& aReason)
  {
    switch (aOutcome) {
      case OrderOutcome::kDone:
        this->term->Metrics().Count(DomainMetrics::Event::kStart);
        this->term->Domain().StartAnswered(aStart, Clock::now());
        break;
      case OrderOutcome::kWorkerReplaced:
        this->term->CheckReplaced(aStart.Worker(), aOutcome);
        [[fallthrough]];
      case OrderOutcome::kRefused:
        this->term->Metrics().Count(DomainMetrics::Event::kStartRefused);
        this->term->Domain().StartRefused(aStart, Clock::now());
        break;
      case OrderOutcome::kNotKnown:
        this->term->Metrics().Count(DomainMetrics::Event::kStartUnanswered);
        this->term->Domain().StartUnanswered(aStart, Clock::now());
        break;
      case OrderOutcome::kFenced:
        this->term->Deposed("start", aReason);
        break;
    }
  }

  boost::asio::awaitable<void> SendStop(StopOrder aStop)
  {
    const TrackedWorker* worker =
      this->term->Domain().FindWorker(aStop.Worker());
    // A stop that is not sent is ordered again by a later pass.
    if (worker == nullptr || !this->term->IsActive() ||
        this->term->IsExclusivityLost()) {
      co_return;
    }
    const WorkerListing listing = worker->Listing();
    const std::int64_t token = this->term->TokenFor(aStop.Worker());
    Reason reason;
    const OrderOutcome answered =
      co_await this->term->Workers().Stop(listing, aStop, token, reason);
    if (!this->term->IsActive()) {
      co_return;
    }
    const OrderOutcome outcome =
      this->term->OutcomeInTerm(aStop.Worker(), token, answered);
    LogStop(aStop, this->term->Number(), outcome, reason);
    this->term->CheckReplaced(aStop.Worker(), outcome);
    if (outcome == OrderOutcome::kFenced) {
      this->term->Deposed("stop", reason);
    } else if (outcome == OrderOutcome::kDone) {
      this->term->Metrics().Count(DomainMetrics::Event::kStop);
      this->term->Domain().StopAnswered(aStop, Clock::now());
    }
  }

  Term* term;
  std::vector<StartOrder> staged;
};

}
