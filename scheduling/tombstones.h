#pragma once

#include "contracts/table_row.h"
#include "core/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinecourse {

class TableTransaction;

/** The rows that keep jobs from being admitted after their cancellation, with
 * the time since which this holder has seen each one unchanged. */
class Tombstones
{
public:
  /** Replaces the list by the rows of a full read of their table. */
  void Update(const std::vector<TableRow>& aRows, Instant aNow);
  /** Rows, at most aMax, that have been unchanged for aRetention. */
  std::vector<TableRow> Expired(Milliseconds aRetention,
                                std::size_t aMax,
                                Instant aNow) const;
  /** Transaction that deletes the rows, on condition that none was written
   * again and that the term is current. */
  static TableTransaction Deletion(const std::vector<TableRow>& aRows,
                                   std::int64_t aTermRevision);

private:
  struct Entry
  {
    TableRow row;
    Instant since;
  };

  std::map<std::string, Entry> entries;
};

}
