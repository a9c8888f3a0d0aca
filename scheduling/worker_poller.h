#pragma once

#include "core/reason.h"
#include "links/worker_orders.h"
#include "scheduling/decision_events.h"
#include "scheduling/domain_metrics.h"
#include "scheduling/event_line.h"
#include "zones/domain_state.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <set>
#include <vector>

namespace sardinecourse {

/** Polls each worker repeatedly. A poll renews the worker's lease, acknowledges
 * stored ends of runs and returns newly ended ones. */
template<typename Term>
class WorkerPoller
{
public:
  explicit WorkerPoller(Term& aTerm)
    : term(&aTerm)
  {
  }

  /** Starts polling a worker unless it is being polled. */
  void StartPolling(const WorkerName& aWorker)
  {
    if (!this->polled.insert(aWorker).second) {
      return;
    }
    this->term->Spawn(
      [this, aWorker] { return this->PollRepeatedly(aWorker); });
  }

private:
  /** Longest wait of a poll on a busy worker; the end of a run is reported at
   * once. */
  static constexpr Milliseconds kPollWait{ 700 };
  /** The same on a worker that is leaving; its lease is short and must survive
   * a poll that is not answered. */
  static constexpr Milliseconds kLeavingPollWait{ 300 };
  /** Longest wait of a poll on an idle worker. No run ends there, so it is
   * polled less often. */
  static constexpr Milliseconds kIdlePollWait{ 1500 };
  /** Pause while reported ends are being stored; the next poll acknowledges
   * them. */
  static constexpr Milliseconds kStorePause{ 30 };
  /** Number of pauses after which the worker is polled although its ends are
   * not stored yet. */
  static constexpr int kMaxStorePauses = 10;
  /** Failed polls after which the pause between polls stops growing. */
  static constexpr int kMaxBackoffSteps = 4;

  boost::asio::awaitable<void> PollRepeatedly(WorkerName aWorker)
  {
    int failures = 0;
    int pauses = 0;
    while (this->term->IsActive()) {
      TrackedWorker* worker = this->term->Domain().FindWorker(aWorker);
      const bool isPollNeeded =
        worker->Listed() || (worker->HasAnswered() && !worker->Tasks().empty());
      if (!isPollNeeded) {
        break;
      }
      if (this->term->IsExclusivityLost()) {
        co_await this->term->PauseFor(Term::kRetryPause);
        continue;
      }
      const std::int64_t acknowledged =
        this->term->Domain().AcknowledgeableEnd(aWorker, Clock::now());
      if (!worker->UnstoredEnds().empty()) {
        co_await this->term->PauseFor(kStorePause);
        if (++pauses % kMaxStorePauses != 0) {
          continue;
        }
      }
      const bool isAnswered = co_await this->PollOnce(aWorker, acknowledged);
      failures = isAnswered ? 0 : std::min(failures + 1, kMaxBackoffSteps);
      if (!isAnswered) {
        this->term->Domain().PollFailed(aWorker);
      }
      // A poll without a lease does not wait on the worker.
      const bool isLeaseAwaited = isAnswered && worker->IsWithheld();
      if (this->term->IsActive() && (!isAnswered || isLeaseAwaited)) {
        co_await this->term->PauseFor(Term::kRetryPause *
                                      std::max(failures, 1));
      }
    }
    this->polled.erase(aWorker);
  }

  static Milliseconds WaitOn(const TrackedWorker& aWorker)
  {
    // The next answer shows that no earlier order can be carried out any more.
    if (aWorker.Fence().MayBeLate()) {
      return Milliseconds(0);
    }
    if (aWorker.Tasks().empty()) {
      return kIdlePollWait;
    }
    return aWorker.HasShortLease() ? kLeavingPollWait : kPollWait;
  }

  boost::asio::awaitable<bool> PollOnce(WorkerName aWorker,
                                        std::int64_t aAcknowledged)
  {
    TrackedWorker* worker = this->term->Domain().FindWorker(aWorker);
    const WorkerListing listing = worker->Listing();
    const Instant sent = Clock::now();
    PollRequest request;
    request.token = this->term->TokenFor(aWorker);
    request.acknowledged = aAcknowledged;
    request.leaseUntilMs = this->term->Domain().GrantLease(aWorker, sent);
    if (request.leaseUntilMs > 0) {
      request.wait = WaitOn(*worker);
    }
    Reason reason;
    const PollAnswer answer =
      co_await this->term->Workers().Poll(listing, request, reason);
    if (!this->term->IsActive()) {
      co_return false;
    }
    const OrderOutcome outcome =
      this->term->OutcomeInTerm(aWorker, request.token, answer.outcome);
    if (outcome == OrderOutcome::kFenced) {
      this->term->Deposed("look", reason);
      co_return false;
    }
    if (!answer.report) {
      this->term->Metrics().Count(DomainMetrics::Event::kPollFailed);
      EventLine("look_failed")
        .Field("worker", aWorker.Text())
        .Field("tasks", static_cast<std::int64_t>(worker->Tasks().size()))
        .Field("lease_left_ms", worker->LeaseLeft(Clock::now()).count())
        .Field("term", this->term->Number())
        .Field(reason)
        .Emit();
      this->term->CheckReplaced(aWorker, outcome);
      co_return false;
    }
    const std::int64_t longLeases = this->term->Domain().LongLeases();
    const std::vector<ReportedEnd> ends = this->term->Domain().ApplyReport(
      aWorker, *answer.report, sent, Clock::now());
    if (this->term->Domain().LongLeases() > longLeases) {
      this->term->Metrics().Count(DomainMetrics::Event::kLongLease);
    }
    for (const ReportedEnd& reported : ends) {
      this->term->Metrics().Count(
        DomainMetrics::EventOf(reported.end.Outcome()));
      LogEnd(aWorker, reported);
    }
    if (!ends.empty()) {
      this->term->RequestPass();
    }
    co_return true;
  }

  Term* term;
  std::set<WorkerName> polled;
};

}
