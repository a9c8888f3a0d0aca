#include "scheduling/tombstones.h"

#include "contracts/table_transaction.h"
#include "scheduling/store_rows.h"

#include <utility>

namespace sardinecourse {

void
Tombstones::Update(const std::vector<TableRow>& aRows, Instant aNow)
{
  std::map<std::string, Entry> current;
  for (const TableRow& row : aRows) {
    const auto found = this->entries.find(row.Key());
    const bool isUnchanged = found != this->entries.end() &&
                             found->second.row.Revision() == row.Revision();
    current.emplace(row.Key(),
                    Entry{ row, isUnchanged ? found->second.since : aNow });
  }
  this->entries = std::move(current);
}

std::vector<TableRow>
Tombstones::Expired(Milliseconds aRetention,
                    std::size_t aMax,
                    Instant aNow) const
{
  std::vector<TableRow> expired;
  for (const auto& [key, entry] : this->entries) {
    if (expired.size() < aMax && aNow >= entry.since + aRetention) {
      expired.push_back(entry.row);
    }
  }
  return expired;
}

TableTransaction
Tombstones::Deletion(const std::vector<TableRow>& aRows,
                     std::int64_t aTermRevision)
{
  std::vector<TableCheck> checks;
  std::vector<TableWrite> writes;
  AddCheck(checks, kDomainTable, kTermRow, aTermRevision);
  for (const TableRow& row : aRows) {
    AddCheck(checks, kTombstoneTable, row.Key(), row.Revision());
    AddWrite(writes, kTombstoneTable, row.Key(), std::nullopt);
  }
  return MakeTransaction(std::move(checks), std::move(writes));
}

}
