#include "scheduling/archive_batch.h"

#include "codecs/job_progress_json.h"
#include "contracts/commit_answer.h"
#include "contracts/job_progress_builder.h"
#include "contracts/progress_limits.h"
#include "contracts/table_transaction.h"
#include "core/reason.h"
#include "scheduling/store_rows.h"
#include "zones/domain_state.h"

#include <utility>

namespace sardinecourse {

ArchiveBatch
ArchiveBatch::Collect(const DomainState& aDomain,
                      std::int64_t aTermRevision,
                      Instant aNow)
{
  ArchiveBatch batch;
  batch.termRevision = aTermRevision;
  std::size_t rows = 1; // The term's row.
  for (const JobKey& key :
       aDomain.JobsToArchive(aNow, kMaxTransactionRows / kRowsPerJob)) {
    const TrackedJob& job = aDomain.Jobs().at(key);
    rows += kRowsPerJob + static_cast<std::size_t>(job.StoredRows() - 1);
    if (rows > kMaxTransactionRows && !batch.Empty()) {
      batch.isFull = true;
      break;
    }
    Reason ignored; // Only the queue is checked, and it is set.
    const JobProgress final = JobProgressBuilder()
                                .Queue(job.Job().Queue())
                                .Address(job.Job().Address())
                                .State(job.State())
                                .Build(ignored)
                                .value_or(JobProgress());
    Entry entry;
    entry.revision = job.Revision();
    entry.progressRows = job.StoredRows();
    entry.isCancelled = job.State() == JobState::kCancelled;
    entry.value = EncodeJobProgress(final);
    batch.entries.emplace(key, std::move(entry));
  }
  return batch;
}

TableTransaction
ArchiveBatch::Transaction() const
{
  std::vector<TableCheck> checks;
  std::vector<TableWrite> writes;
  AddCheck(checks, kDomainTable, kTermRow, this->termRevision);
  for (const auto& [key, entry] : this->entries) {
    AddCheck(checks, kProgressTable, key.Text(), entry.revision);
    AddWrite(writes, kProgressTable, key.Text(), std::nullopt);
    for (std::int32_t row = 1; row < entry.progressRows; ++row) {
      AddWrite(
        writes, kProgressRowTable, ProgressRowKey(key, row), std::nullopt);
    }
    AddWrite(writes, kJobTable, key.Text(), std::nullopt);
    if (entry.isCancelled) {
      AddWrite(writes, kJobTable, CancelRowKey(key), std::nullopt);
    }
    AddWrite(writes, kEndedTable, key.Text(), entry.value);
  }
  return MakeTransaction(std::move(checks), std::move(writes));
}

bool
ArchiveBatch::ApplyOutcome(const CommitAnswer& aAnswer,
                           DomainState& aDomain,
                           Instant aNow) const
{
  if (aAnswer.Outcome() == WriteOutcome::kCommitted) {
    for (const auto& [key, entry] : this->entries) {
      aDomain.Archived(key, aNow);
    }
    return true;
  }
  if (aAnswer.Outcome() != WriteOutcome::kConflict) {
    return true;
  }
  std::map<JobKey, std::int64_t> revisions;
  bool isTermCurrent = false;
  for (const TableRow& row : aAnswer.Current()) {
    if (row.Table() == kDomainTable && row.Key() == kTermRow) {
      isTermCurrent = row.Revision() == this->termRevision;
      if (!isTermCurrent) {
        return false;
      }
    } else if (row.Table() == kProgressTable && row.Revision() > 0) {
      revisions.emplace(JobKey(row.Key()), row.Revision());
    }
  }
  if (!isTermCurrent) {
    return true; // The answer was unreadable.
  }
  for (const auto& [key, entry] : this->entries) {
    const auto found = revisions.find(key);
    TrackedJob* job = aDomain.FindJob(key);
    if (found == revisions.end()) {
      // An earlier attempt took effect although its answer was lost; only the
      // current term deletes these rows.
      aDomain.Archived(key, aNow);
    } else if (job != nullptr) {
      // A cancellation, whose revision the holder does not read.
      job->MarkStored(0, found->second);
    }
  }
  return true;
}

}
