#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace sardinecourse {

class CommitAnswer;
class DomainState;
class TableTransaction;

/** Ended jobs whose rows one transaction moves to the archive. */
class ArchiveBatch
{
public:
  /** Takes as many ended jobs as fit into one transaction. */
  static ArchiveBatch Collect(const DomainState& aDomain,
                              std::int64_t aTermRevision,
                              Instant aNow);

  bool Empty() const { return this->entries.empty(); }
  /** Whether more ended jobs may be waiting. */
  bool IsFull() const { return this->isFull; }
  TableTransaction Transaction() const;
  /** Applies the outcome of the transaction to the domain state; false when it
   * shows that another process is the holder. After another conflict the next
   * batch uses the revisions that the store reported. */
  bool ApplyOutcome(const CommitAnswer& aAnswer,
                    DomainState& aDomain,
                    Instant aNow) const;

private:
  /** Rows that a job with one row of progress adds: one to check and up to four
   * to write. */
  static constexpr std::size_t kRowsPerJob = 5;

  struct Entry
  {
    /** Revision of the job's progress. */
    std::int64_t revision = 0;
    std::int32_t progressRows = 1;
    bool isCancelled = false;
    /** Encoded final state. */
    std::string value;
  };

  std::int64_t termRevision = 0;
  bool isFull = false;
  std::map<JobKey, Entry> entries;
};

}
