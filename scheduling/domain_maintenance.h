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

/** Periodic writes of a term besides the progress of its jobs: publishes the
 * number of pending jobs per queue and deletes old finished jobs. */
template<typename Term>
class DomainMaintenance
{
public:
  explicit DomainMaintenance(Term& aTerm)
    : term(&aTerm)
  {
  }

  /** Stores the pending jobs of each queue when they have changed; a failed
   * write is logged and repeated. */
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

  /** Deletes jobs that have been final for the retention time, in which callers
   * can read their state. */
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
        // A later round or the next holder deletes the rows.
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
  /** Each job has three rows, and the platform accepts 100 rows per
   * transaction. */
  static constexpr std::size_t kMaxJobsPerDelete = 30;

  Term* term;
};

}
