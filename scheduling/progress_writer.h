#pragma once

#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/domain_metrics.h"
#include "scheduling/event_line.h"
#include "scheduling/order_sender.h"
#include "scheduling/progress_batch.h"
#include "scheduling/refused_jobs.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <vector>

namespace sardinecourse {

/** Stores the progress of a term's jobs when it changes, then has the starts
 * sent that were held back until it is stored. */
template<typename Term>
class ProgressWriter
{
public:
  ProgressWriter(Term& aTerm, OrderSender<Term>& aSender)
    : term(&aTerm)
    , sender(&aSender)
    , changed(aTerm.Context())
  {
  }

  /** Makes the loop store changes now instead of after its pause. */
  void Wake() { this->changed.cancel(); }

  /** Stores progress until the term ends. Failed writes are logged and
   * repeated; a job that the store refuses does not delay the others. */
  boost::asio::awaitable<void> Run()
  {
    while (this->term->IsActive()) {
      const ProgressBatch batch = ProgressBatch::Collect(this->term->Domain(),
                                                         this->term->Revision(),
                                                         this->refused,
                                                         Clock::now());
      if (batch.Empty()) {
        this->sender->SendStored();
        co_await this->AwaitChange();
        continue;
      }
      Reason reason;
      const TableTransaction transaction = batch.Transaction();
      const CommitAnswer answer =
        co_await this->term->Rows().Commit(transaction, reason);
      if (!this->term->IsActive()) {
        co_return;
      }
      if (!batch.ApplyOutcome(answer, this->term->Domain(), Clock::now())) {
        this->term->Deposed("store", reason);
        co_return;
      }
      this->sender->SendStored();
      if (answer.Outcome() == WriteOutcome::kCommitted) {
        this->refused.Stored(batch.Jobs());
      }
      if (answer.IsInvalid()) {
        this->NoteRefused(batch.Jobs(), reason);
        continue;
      }
      const bool isFailed = answer.Outcome() == WriteOutcome::kNotWritten ||
                            answer.Outcome() == WriteOutcome::kNotKnown;
      if (isFailed) {
        this->term->Metrics().Count(DomainMetrics::Event::kStoreFailed);
        EventLine("progress_not_stored")
          .Field("term", this->term->Number())
          .Field(reason)
          .Emit();
        co_await this->term->PauseFor(Term::kRetryPause);
      }
    }
  }

private:
  /** Longest pause before the loop checks for unsaved progress. */
  static constexpr Milliseconds kMaxWait{ 100 };

  void NoteRefused(const std::vector<JobKey>& aJobs, const Reason& aReason)
  {
    this->term->Metrics().Count(DomainMetrics::Event::kStoreFailed);
    this->refused.Refused(aJobs, Clock::now());
    EventLine("progress_refused")
      .Field("term", this->term->Number())
      .Field("jobs", static_cast<std::int64_t>(aJobs.size()))
      .Field("first", aJobs.front().Text())
      .Field(aReason)
      .Emit();
  }

  boost::asio::awaitable<void> AwaitChange()
  {
    boost::system::error_code ignored;
    this->changed.expires_after(kMaxWait);
    co_await this->changed.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  Term* term;
  OrderSender<Term>* sender;
  RefusedJobs refused;
  boost::asio::steady_timer changed;
};

}
