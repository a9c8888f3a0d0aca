#pragma once

#include "contracts/row_page.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/archive_batch.h"
#include "scheduling/event_line.h"
#include "scheduling/store_rows.h"
#include "scheduling/tombstones.h"
#include "zones/domain_state.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Moves ended jobs out of the tables that a holder loads, and deletes their
 * final states after the retention time. */
template<typename Term>
class JobArchive
{
public:
  explicit JobArchive(Term& aTerm)
    : term(&aTerm)
  {
  }

  /** Archives ended jobs until the term ends. */
  boost::asio::awaitable<void> ArchiveEndedJobs()
  {
    while (this->term->IsActive()) {
      const ArchiveBatch batch = ArchiveBatch::Collect(
        this->term->Domain(), this->term->Revision(), Clock::now());
      if (batch.Empty() || this->term->IsLeaseExpired()) {
        co_await this->term->PauseFor(kArchiveInterval);
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
      if (answer.Outcome() != WriteOutcome::kCommitted) {
        EventLine("jobs_not_archived")
          .Field("conflict",
                 answer.Outcome() == WriteOutcome::kConflict ? 1 : 0)
          .Field(reason)
          .Emit();
      }
      if (answer.Outcome() != WriteOutcome::kCommitted || !batch.IsFull()) {
        co_await this->term->PauseFor(kArchiveInterval);
      }
    }
  }

  /** Deletes final states past the retention time, also those that earlier
   * holders archived. */
  boost::asio::awaitable<void> DeleteOldEntries()
  {
    co_await this->term->PauseFor(kInheritDelay);
    bool isInherited = false;
    while (this->term->IsActive()) {
      if (!isInherited) {
        isInherited = co_await this->InheritEntries();
      }
      co_await this->term->PauseFor(kDeleteInterval);
      if (this->term->IsActive() && !this->term->IsLeaseExpired()) {
        co_await this->DeleteExpired();
      }
    }
  }

  /** Deletes tombstones past the retention time. */
  boost::asio::awaitable<void> DeleteOldTombstones()
  {
    while (this->term->IsActive()) {
      co_await this->term->PauseFor(kTombstoneInterval);
      if (!this->term->IsActive() || this->term->IsLeaseExpired()) {
        continue;
      }
      Reason reason;
      std::string table = kTombstoneTable;
      const std::optional<RowPage> page =
        co_await this->term->Rows().Read(std::move(table), "", "", reason);
      if (!page) {
        EventLine("tombstones_unreadable").Field(reason).Emit();
        continue;
      }
      this->tombstones.Update(page->Rows(), Clock::now());
      const std::vector<TableRow> expired = this->tombstones.Expired(
        this->term->Domain().Timing().FinalJobRetention(),
        kMaxTombstones,
        Clock::now());
      if (expired.empty()) {
        continue;
      }
      const TableTransaction deletion =
        Tombstones::Deletion(expired, this->term->Revision());
      const CommitAnswer answer =
        co_await this->term->Rows().Commit(deletion, reason);
      if (answer.Outcome() != WriteOutcome::kCommitted) {
        // A later round or the next holder deletes the rows.
        EventLine("tombstones_not_deleted").Field(reason).Emit();
      }
    }
  }

private:
  static constexpr Milliseconds kTombstoneInterval{ 30000 };
  /** Each adds a row to check and one to delete, of 100 in a transaction. */
  static constexpr std::size_t kMaxTombstones = 45;
  static constexpr Milliseconds kArchiveInterval{ 500 };
  static constexpr Milliseconds kDeleteInterval{ 5000 };
  /** The entries of earlier holders are read once the work that a takeover
   * finds waiting is done. */
  static constexpr Milliseconds kInheritDelay{ 20000 };
  /** The platform accepts 100 rows per transaction, and one is the term's. */
  static constexpr std::size_t kMaxDeletions = 95;

  boost::asio::awaitable<bool> InheritEntries()
  {
    Reason reason;
    std::string table = kEndedTable;
    const std::optional<RowPage> entries =
      co_await this->term->Rows().Read(std::move(table), "", "", reason);
    if (!entries) {
      EventLine("archive_unreadable").Field(reason).Emit();
      co_return false;
    }
    for (const TableRow& row : entries->Rows()) {
      this->term->Domain().Archived(JobKey(row.Key()), Clock::now());
    }
    co_return true;
  }

  boost::asio::awaitable<void> DeleteExpired()
  {
    const std::vector<JobKey> expired =
      this->term->Domain().ArchivedPastRetention(Clock::now(), kMaxDeletions);
    if (expired.empty()) {
      co_return;
    }
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    AddCheck(checks, kDomainTable, kTermRow, this->term->Revision());
    for (const JobKey& job : expired) {
      AddWrite(writes, kEndedTable, job.Text(), std::nullopt);
    }
    const TableTransaction transaction =
      MakeTransaction(std::move(checks), std::move(writes));
    Reason reason;
    const CommitAnswer answer =
      co_await this->term->Rows().Commit(transaction, reason);
    if (answer.Outcome() != WriteOutcome::kCommitted) {
      // A later round or the next holder deletes the rows.
      EventLine("jobs_not_forgotten").Field(reason).Emit();
      co_return;
    }
    for (const JobKey& job : expired) {
      this->term->Domain().ForgetArchived(job);
    }
    EventLine("jobs_forgotten")
      .Field("jobs", static_cast<std::int64_t>(expired.size()))
      .Emit();
  }

  Term* term;
  Tombstones tombstones;
};

}
