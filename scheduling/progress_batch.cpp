#include "scheduling/progress_batch.h"

#include "codecs/job_progress_json.h"
#include "core/reason.h"
#include "scheduling/event_line.h"
#include "scheduling/store_rows.h"
#include "zones/domain_state.h"

#include <algorithm>

namespace sardinecourse {

namespace {

/** The platform accepts 100 rows and 1 MB per transaction; each job adds one
 * row to check and one row to write. */
constexpr std::size_t kMaxJobs = 45;
constexpr std::size_t kMaxBytes = 600'000;

}

ProgressBatch
ProgressBatch::Collect(const DomainState& aDomain, std::int64_t aTermRevision)
{
  ProgressBatch batch;
  batch.termRevision = aTermRevision;
  std::vector<JobKey> dirty = aDomain.DirtyJobs();
  std::stable_sort(dirty.begin(),
                   dirty.end(),
                   [&aDomain](const JobKey& aLeft, const JobKey& aRight) {
                     return aDomain.Jobs().at(aLeft).Job().Priority() <
                            aDomain.Jobs().at(aRight).Job().Priority();
                   });
  std::size_t bytes = 0;
  for (const JobKey& key : dirty) {
    const TrackedJob& job = aDomain.Jobs().at(key);
    Entry entry;
    entry.version = job.Version();
    entry.revision = job.Revision();
    entry.value = EncodeJobProgress(job.Progress());
    bytes += entry.value.size();
    if (!batch.entries.empty() &&
        (batch.entries.size() >= kMaxJobs || bytes > kMaxBytes)) {
      break;
    }
    batch.entries.emplace(key, std::move(entry));
  }
  return batch;
}

TableTransaction
ProgressBatch::Transaction() const
{
  std::vector<TableCheck> checks;
  std::vector<TableWrite> writes;
  AddCheck(checks, kDomainTable, kTermRow, this->termRevision);
  for (const auto& [key, entry] : this->entries) {
    AddCheck(checks, kProgressTable, key.Text(), entry.revision);
    AddWrite(writes, kProgressTable, key.Text(), entry.value);
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
      }
    }
    return true;
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
  if (aRow.Value() == found->second.value) {
    // An earlier attempt took effect although its answer was lost.
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
