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

/**
 * One transaction that stores the progress of several jobs, on condition that
 * this process still holds the domain and that the jobs were not changed
 * otherwise, for example by a caller's cancellation.
 */
class ProgressBatch
{
public:
  /** Collects jobs with unsaved progress, the most urgent first, up to the
   * limits of a transaction. */
  static ProgressBatch Collect(const DomainState& aDomain,
                               std::int64_t aTermRevision);

  bool Empty() const { return this->entries.empty(); }
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
    std::string value;
  };

  void ResolveRow(const TableRow& aRow,
                  DomainState& aDomain,
                  Instant aNow) const;

  std::int64_t termRevision = 0;
  std::map<JobKey, Entry> entries;
};

}
