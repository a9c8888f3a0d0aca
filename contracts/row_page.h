#pragma once

#include "contracts/table_row.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

/** Rows of one table at one revision, or the changes in it since a revision. */
class RowPage
{
public:
  const std::vector<TableRow>& Rows() const { return this->rows; }
  /** Keys of removed rows; only in a list of changes. */
  const std::vector<std::string>& RemovedKeys() const
  {
    return this->removedKeys;
  }
  /** Newest revision of the store at the time of the answer. */
  std::int64_t Revision() const { return this->revision; }
  /** True if the list was truncated; the next page starts after the last
   * row. */
  bool HasMore() const { return this->hasMore; }
  /** True if the store no longer has all changes since the requested
   * revision. */
  bool IsHistoryLost() const { return this->isHistoryLost; }
  /** Time of the answer on the store's steady clock, in ms; empty if it was not
   * given. */
  std::optional<std::int64_t> StoreTimeMs() const { return this->storeTimeMs; }

  auto operator<=>(const RowPage&) const = default;

private:
  friend class RowPageBuilder;

  std::vector<TableRow> rows;
  std::vector<std::string> removedKeys;
  std::int64_t revision = 0;
  bool hasMore = false;
  bool isHistoryLost = false;
  std::optional<std::int64_t> storeTimeMs;
};

}
