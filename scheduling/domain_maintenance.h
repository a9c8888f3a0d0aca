#pragma once

#include "codecs/pending_json.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/event_line.h"
#include "scheduling/store_rows.h"
#include "zones/domain_state.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** What a term stores beside the progress of its jobs: how many of them wait,
 * and that old ones are dropped. */
template<typename Term>
class DomainMaintenance
{
public:
  explicit DomainMaintenance(Term& aTerm)
    : term(&aTerm)
  {
  }

  boost::asio::awaitable<void> PublishPending()
  {
    std::string published;
    while (this->term->IsActive()) {
      std::string text = EncodePending(this->term->Domain().Pending());
      if (text != published) {
        std::vector<TableCheck> checks;
        std::vector<TableWrite> writes;
        AddCheck(checks, kDomainTable, kTermRow, this->term->Revision());
        AddWrite(writes, kDomainTable, kPendingRow, text);
        const TableTransaction transaction =
          MakeTransaction(std::move(checks), std::move(writes));
        Reason reason;
        const CommitAnswer answer =
          co_await this->term->Rows().Commit(transaction, reason);
        if (answer.Outcome() == WriteOutcome::kCommitted) {
          published = std::move(text);
        } else {
          EventLine("pending_not_stored").Field(reason).Emit();
        }
      }
      co_await this->term->PauseFor(kPendingInterval);
    }
  }

  /** Drops jobs that callers have had the time to ask for. */
  boost::asio::awaitable<void> DeleteFinishedJobs()
  {
    while (this->term->IsActive()) {
      co_await this->term->PauseFor(kDeleteInterval);
      const std::vector<JobKey> finished =
        this->term->Domain().JobsPastRetention(Clock::now(), kMaxJobsPerDelete);
      if (!this->term->IsActive() || finished.empty()) {
        continue;
      }
      std::vector<TableCheck> checks;
      std::vector<TableWrite> writes;
      AddCheck(checks, kDomainTable, kTermRow, this->term->Revision());
      for (const JobKey& job : finished) {
        AddWrite(writes, kJobTable, job.Text(), std::nullopt);
        AddWrite(writes, kJobTable, CancelRowKey(job), std::nullopt);
        AddWrite(writes, kProgressTable, job.Text(), std::nullopt);
      }
      const TableTransaction transaction =
        MakeTransaction(std::move(checks), std::move(writes));
      Reason reason;
      const CommitAnswer answer =
        co_await this->term->Rows().Commit(transaction, reason);
      if (answer.Outcome() != WriteOutcome::kCommitted) {
        // The rows are dropped by a later turn, or by the next holder.
        EventLine("jobs_not_forgotten").Field(reason).Emit();
        continue;
      }
      for (const JobKey& job : finished) {
        this->term->Domain().RemoveJob(job);
      }
      EventLine("jobs_forgotten")
        .Field("jobs", static_cast<std::int64_t>(finished.size()))
        .Emit();
    }
  }

private:
  static constexpr Milliseconds kPendingInterval{ 500 };
  static constexpr Milliseconds kDeleteInterval{ 5000 };
  /** Three rows a job; the platform takes 100 rows a transaction. */
  static constexpr std::size_t kMaxJobsPerDelete = 30;

  Term* term;
};

}
