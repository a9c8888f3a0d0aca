#pragma once

#include "core/reason.h"
#include "links/worker_orders.h"
#include "scheduling/decision_events.h"
#include "scheduling/domain_metrics.h"
#include "scheduling/event_line.h"
#include "zones/domain_book.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <set>
#include <vector>

namespace sardinecourse {

/** Looks at each worker again and again, which renews its lease and shows what
 * ended on it. */
template<typename Term>
class WorkerLooks
{
public:
  explicit WorkerLooks(Term& aTerm)
    : term(&aTerm)
  {
  }

  /** Begins to look at a worker, unless it is looked at. */
  void LookAt(const WorkerName& aWorker)
  {
    if (!this->lookedAt.insert(aWorker).second) {
      return;
    }
    this->term->Spawn([this, aWorker] { return this->KeepLooking(aWorker); });
  }

private:
  /** A run that ends shows at once; without an end a look takes so long. */
  static constexpr Milliseconds kLookWait{ 700 };
  /** Nothing ends on an idle worker, so it is looked at less often. */
  static constexpr Milliseconds kIdleLookWait{ 1500 };
  /** Ends that wait to be stored are acknowledged by the look after that. */
  static constexpr Milliseconds kStorePause{ 30 };
  /** A worker is looked at after so many pauses, stored or not. */
  static constexpr int kLookAnywayTurns = 10;
  /** Failures after which the pause between looks grows no more. */
  static constexpr int kMostBackoffs = 4;

  boost::asio::awaitable<void> KeepLooking(WorkerName aWorker)
  {
    int failures = 0;
    int pauses = 0;
    while (this->term->IsActive()) {
      WorkerBook* worker = this->term->Book().FindWorker(aWorker);
      const bool isWanted =
        worker->Listed() || (worker->Reached() && !worker->Tasks().empty());
      if (!isWanted) {
        break;
      }
      if (this->term->IsDisputed()) {
        co_await this->term->PauseFor(Term::kRetryPause);
        continue;
      }
      const std::int64_t acknowledged =
        this->term->Book().AckFor(aWorker, Clock::now());
      if (!worker->Awaited().empty()) {
        co_await this->term->PauseFor(kStorePause);
        if (++pauses % kLookAnywayTurns != 0) {
          continue;
        }
      }
      const bool isSeen = co_await this->LookOnce(aWorker, acknowledged);
      failures = isSeen ? 0 : std::min(failures + 1, kMostBackoffs);
      if (!isSeen) {
        this->term->Book().LookFailed(aWorker);
      }
      if (!isSeen && this->term->IsActive()) {
        co_await this->term->PauseFor(Term::kRetryPause * failures);
      }
    }
    this->lookedAt.erase(aWorker);
  }

  boost::asio::awaitable<bool> LookOnce(WorkerName aWorker,
                                        std::int64_t aAcknowledged)
  {
    WorkerBook* worker = this->term->Book().FindWorker(aWorker);
    const WorkerListing listing = worker->Listing();
    const Instant sent = Clock::now();
    LookOrder look;
    look.term = this->term->Number();
    look.acknowledged = aAcknowledged;
    look.leaseUntilMs = this->term->Book().LeaseFor(aWorker, sent);
    if (look.leaseUntilMs > 0) {
      look.wait = worker->Tasks().empty() ? kIdleLookWait : kLookWait;
    }
    Reason reason;
    const LookAnswer answer =
      co_await this->term->Workers().Look(listing, look, reason);
    if (!this->term->IsActive()) {
      co_return false;
    }
    if (answer.outcome == OrderOutcome::kFenced) {
      this->term->Deposed("look", reason);
      co_return false;
    }
    if (!answer.report) {
      this->term->Metrics().Count(DomainMetrics::Event::kLookFailed);
      EventLine("look_failed")
        .Field("worker", aWorker.Text())
        .Field("term", this->term->Number())
        .Field(reason)
        .Emit();
      this->term->CheckOver(aWorker, answer.outcome);
      co_return false;
    }
    const std::vector<EndedTask> ends =
      this->term->Book().Report(aWorker, *answer.report, sent, Clock::now());
    for (const EndedTask& end : ends) {
      this->term->Metrics().Count(DomainMetrics::EventOf(end.How()));
      LogEnd(aWorker, end);
    }
    if (!ends.empty()) {
      this->term->Kick();
    }
    co_return true;
  }

  Term* term;
  std::set<WorkerName> lookedAt;
};

}
