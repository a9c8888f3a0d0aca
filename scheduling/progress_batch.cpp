#include "scheduling/progress_batch.h"

#include "codecs/job_progress_json.h"
#include "contracts/progress_limits.h"
#include "core/reason.h"
#include "scheduling/event_line.h"
#include "scheduling/refused_jobs.h"
#include "scheduling/store_rows.h"
#include "zones/domain_state.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sardinecourse {

namespace {

std::size_t
BytesOf(const std::vector<std::string>& aRows)
{
  std::size_t bytes = 0;
  for (const std::string& row : aRows) {
    bytes += row.size();
  }
  return bytes;
}

}

ProgressBatch
ProgressBatch::Collect(const DomainState& aDomain,
                       std::int64_t aTermRevision,
                       const RefusedJobs& aRefused,
                       Instant aNow)
{
  ProgressBatch batch;
  batch.termRevision = aTermRevision;
  std::vector<JobKey> dirty = aDomain.DirtyJobs();
  std::erase_if(dirty, [&aRefused, aNow](const JobKey& aJob) {
    return aRefused.IsHeldBack(aJob, aNow);
  });
  const auto suspect =
    std::find_if(dirty.begin(), dirty.end(), [&aRefused](const JobKey& aJob) {
      return aRefused.IsSuspect(aJob);
    });
  if (suspect != dirty.end()) {
    batch.Add(*suspect, MakeEntry(aDomain.Jobs().at(*suspect)));
    return batch;
  }
  std::stable_sort(dirty.begin(),
                   dirty.end(),
                   [&aDomain](const JobKey& aLeft, const JobKey& aRight) {
                     return aDomain.Jobs().at(aLeft).Job().Priority() <
                            aDomain.Jobs().at(aRight).Job().Priority();
                   });
  for (const JobKey& key : dirty) {
    if (!batch.Add(key, MakeEntry(aDomain.Jobs().at(key)))) {
      break;
    }
  }
  return batch;
}

ProgressBatch::Entry
ProgressBatch::MakeEntry(const TrackedJob& aJob)
{
  Entry entry;
  entry.version = aJob.Version();
  entry.revision = aJob.Revision();
  // Their encoding may be several times as long as the checkpoints, and must
  // not keep the progress from being stored.
  std::size_t checkpointBytes = kMaxStoredCheckpointBytes;
  entry.rows = EncodeProgressRows(aJob.Progress(), kMaxRowBytes);
  while (BytesOf(entry.rows) > kMaxTransactionBytes && checkpointBytes > 0) {
    checkpointBytes /= 2;
    entry.rows =
      EncodeProgressRows(aJob.Progress(checkpointBytes), kMaxRowBytes);
  }
  entry.storedRows = aJob.StoredRows();
  return entry;
}

bool
ProgressBatch::Add(const JobKey& aJob, Entry aEntry)
{
  // Each job adds its first row once more, as a check.
  const std::size_t addedRows =
    1 +
    std::max(aEntry.rows.size(), static_cast<std::size_t>(aEntry.storedRows));
  const std::size_t addedBytes = BytesOf(aEntry.rows);
  // A job that exceeds the limits by itself is refused by the store and then
  // held back.
  if (!this->Empty() && (this->rowCount + addedRows > kMaxTransactionRows ||
                         this->bytes + addedBytes > kMaxTransactionBytes)) {
    return false;
  }
  this->rowCount += addedRows;
  this->bytes += addedBytes;
  this->entries.emplace(aJob, std::move(aEntry));
  return true;
}

std::vector<JobKey>
ProgressBatch::Jobs() const
{
  std::vector<JobKey> jobs;
  for (const auto& [key, entry] : this->entries) {
    jobs.push_back(key);
  }
  return jobs;
}

TableTransaction
ProgressBatch::Transaction() const
{
  std::vector<TableCheck> checks;
  std::vector<TableWrite> writes;
  AddCheck(checks, kDomainTable, kTermRow, this->termRevision);
  for (const auto& [key, entry] : this->entries) {
    AddCheck(checks, kProgressTable, key.Text(), entry.revision);
    AddWrite(writes, kProgressTable, key.Text(), entry.rows.front());
    const auto count = static_cast<std::int32_t>(entry.rows.size());
    for (std::int32_t row = 1; row < std::max(count, entry.storedRows); ++row) {
      AddWrite(writes,
               kProgressRowTable,
               ProgressRowKey(key, row),
               row < count ? std::optional<std::string>(entry.rows[row])
                           : std::nullopt);
    }
  }
  return MakeTransaction(std::move(checks), std::move(writes));
}

bool
ProgressBatch::ApplyOutcome(const CommitAnswer& aAnswer,
                            DomainState& aDomain,
                            Instant aNow) const
{
  if (aAnswer.Outcome() == WriteOutcome::kCommitted) {
    for (const auto& [key, entry] : this->entries) {
      if (TrackedJob* job = aDomain.FindJob(key)) {
        job->MarkStored(entry.version, aAnswer.Revision());
        job->SetStoredRows(static_cast<std::int32_t>(entry.rows.size()));
      }
    }
    return true;
  }
  if (aAnswer.Outcome() == WriteOutcome::kNotKnown) {
    for (const auto& [key, entry] : this->entries) {
      if (TrackedJob* job = aDomain.FindJob(key)) {
        job->SetStoredRows(std::max(
          job->StoredRows(), static_cast<std::int32_t>(entry.rows.size())));
      }
    }
  }
  if (aAnswer.Outcome() != WriteOutcome::kConflict) {
    return true; // The jobs stay dirty, so the next batch repeats the write.
  }
  for (const TableRow& row : aAnswer.Current()) {
    const bool isTerm = row.Table() == kDomainTable && row.Key() == kTermRow;
    if (isTerm && row.Revision() != this->termRevision) {
      return false;
    }
    if (row.Table() == kProgressTable) {
      this->ResolveRow(row, aDomain, aNow);
    }
  }
  return true;
}

void
ProgressBatch::ResolveRow(const TableRow& aRow,
                          DomainState& aDomain,
                          Instant aNow) const
{
  const auto found = this->entries.find(JobKey(aRow.Key()));
  TrackedJob* job = aDomain.FindJob(JobKey(aRow.Key()));
  if (found == this->entries.end() || job == nullptr ||
      aRow.Revision() == found->second.revision) {
    return;
  }
  if (found->second.rows.size() == 1 &&
      aRow.Value() == found->second.rows.front()) {
    // An earlier attempt took effect although its answer was lost. The first of
    // several rows does not show that: the others may differ.
    job->MarkStored(found->second.version, aRow.Revision());
    return;
  }
  Reason reason;
  const auto progress = DecodeJobProgress(aRow.Value(), reason);
  if (progress && progress->State() == JobState::kCancelled) {
    EventLine("job_cancelled")
      .Field("job", aRow.Key())
      .Field("seen_in", "progress")
      .Emit();
    aDomain.CancelJob(JobKey(aRow.Key()), aNow);
    return;
  }
  if (!progress) {
    EventLine("progress_unreadable")
      .Field("job", aRow.Key())
      .Field(reason)
      .Emit();
  }
  job->MarkStored(0, aRow.Revision());
}

}
