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
 * One transaction that stores the progress of several jobs, under the condition
 * that this process still holds the domain and that nobody else, such as a
 * caller who cancels, has changed these jobs.
 */
class ProgressBatch
{
public:
  /** Takes the jobs whose progress has to be stored, the most urgent first. */
  static ProgressBatch Collect(const DomainState& aDomain,
                               std::int64_t aTermRevision);

  bool Empty() const { return this->entries.empty(); }
  TableTransaction Transaction() const;

  /** Notes in the book what became of the transaction; false when another
   * process holds the domain. */
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

  void SettleRow(const TableRow& aRow,
                 DomainState& aDomain,
                 Instant aNow) const;

  std::int64_t termRevision = 0;
  std::map<JobKey, Entry> entries;
};

}
