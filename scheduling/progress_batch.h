#pragma once

#include "contracts/commit_answer.h"
#include "contracts/table_transaction.h"
#include "core/instant.h"
#include "core/names.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinecourse {

class DomainState;
class RefusedJobs;
class TrackedJob;

/**
 * One transaction that stores the progress of several jobs, on condition that
 * this process still holds the domain and that the jobs were not changed
 * otherwise, for example by a caller's cancellation.
 */
class ProgressBatch
{
public:
  /** Collects jobs with unsaved progress, the most urgent first, up to the
   * limits of a transaction. A suspect of aRefused is alone in its batch, and
   * jobs that are held back are left out. */
  static ProgressBatch Collect(const DomainState& aDomain,
                               std::int64_t aTermRevision,
                               const RefusedJobs& aRefused,
                               Instant aNow);

  bool Empty() const { return this->entries.empty(); }
  std::vector<JobKey> Jobs() const;
  TableTransaction Transaction() const;

  /** Applies the outcome of the transaction to the domain state; false when
   * another process holds the domain. */
  bool ApplyOutcome(const CommitAnswer& aAnswer,
                    DomainState& aDomain,
                    Instant aNow) const;

private:
  struct Entry
  {
    std::int64_t version = 0;
    std::int64_t revision = 0;
    std::vector<std::string> rows;
    /** Number of rows that may exist in the store. */
    std::int32_t storedRows = 1;
  };

  static Entry MakeEntry(const TrackedJob& aJob);
  /** Adds an entry unless it exceeds the limits of a transaction beside those
   * that the batch has. */
  bool Add(const JobKey& aJob, Entry aEntry);

  void ResolveRow(const TableRow& aRow,
                  DomainState& aDomain,
                  Instant aNow) const;

  std::int64_t termRevision = 0;
  std::size_t rowCount = 1; // The term's row.
  std::size_t bytes = 0;
  std::map<JobKey, Entry> entries;
};

}
