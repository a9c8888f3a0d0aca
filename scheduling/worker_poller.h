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

/** Looks at each worker again and again, which renews its lease and shows what
 * ended on it. */
template<typename Term>
class WorkerPoller
{
public:
  explicit WorkerPoller(Term& aTerm)
    : term(&aTerm)
  {
  }

  /** Begins to look at a worker, unless it is looked at. */
  void StartPolling(const WorkerName& aWorker)
  {
    if (!this->polled.insert(aWorker).second) {
      return;
    }
    this->term->Spawn(
      [this, aWorker] { return this->PollRepeatedly(aWorker); });
  }

private:
  /** A run that ends shows at once; without an end a look takes so long. */
  static constexpr Milliseconds kPollWait{ 700 };
  /** Nothing ends on an idle worker, so it is looked at less often. */
  static constexpr Milliseconds kIdlePollWait{ 1500 };
  /** Ends that wait to be stored are acknowledged by the look after that. */
  static constexpr Milliseconds kStorePause{ 30 };
  /** A worker is looked at after so many pauses, stored or not. */
  static constexpr int kLookAnywayTurns = 10;
  /** Failures after which the pause between looks grows no more. */
  static constexpr int kMaxBackoffSteps = 4;

  boost::asio::awaitable<void> PollRepeatedly(WorkerName aWorker)
  {
    int failures = 0;
    int pauses = 0;
    while (this->term->IsActive()) {
      TrackedWorker* worker = this->term->Domain().FindWorker(aWorker);
      const bool isWanted =
        worker->Listed() || (worker->HasAnswered() && !worker->Tasks().empty());
      if (!isWanted) {
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
        if (++pauses % kLookAnywayTurns != 0) {
          continue;
        }
      }
      const bool isSeen = co_await this->PollOnce(aWorker, acknowledged);
      failures = isSeen ? 0 : std::min(failures + 1, kMaxBackoffSteps);
      if (!isSeen) {
        this->term->Domain().PollFailed(aWorker);
      }
      if (!isSeen && this->term->IsActive()) {
        co_await this->term->PauseFor(Term::kRetryPause * failures);
      }
    }
    this->polled.erase(aWorker);
  }

  boost::asio::awaitable<bool> PollOnce(WorkerName aWorker,
                                        std::int64_t aAcknowledged)
  {
    TrackedWorker* worker = this->term->Domain().FindWorker(aWorker);
    const WorkerListing listing = worker->Listing();
    const Instant sent = Clock::now();
    PollRequest look;
    look.term = this->term->Number();
    look.acknowledged = aAcknowledged;
    look.leaseUntilMs = this->term->Domain().GrantLease(aWorker, sent);
    if (look.leaseUntilMs > 0) {
      look.wait = worker->Tasks().empty() ? kIdlePollWait : kPollWait;
    }
    Reason reason;
    const PollAnswer answer =
      co_await this->term->Workers().Poll(listing, look, reason);
    if (!this->term->IsActive()) {
      co_return false;
    }
    if (answer.outcome == OrderOutcome::kFenced) {
      this->term->Deposed("look", reason);
      co_return false;
    }
    if (!answer.report) {
      this->term->Metrics().Count(DomainMetrics::Event::kPollFailed);
      EventLine("look_failed")
        .Field("worker", aWorker.Text())
        .Field("term", this->term->Number())
        .Field(reason)
        .Emit();
      this->term->CheckReplaced(aWorker, answer.outcome);
      co_return false;
    }
    const std::vector<EndedTask> ends = this->term->Domain().ApplyReport(
      aWorker, *answer.report, sent, Clock::now());
    for (const EndedTask& end : ends) {
      this->term->Metrics().Count(DomainMetrics::EventOf(end.Outcome()));
      LogEnd(aWorker, end);
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
