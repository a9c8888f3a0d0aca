#pragma once

#include "contracts/row_page.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a RowPage. Build() returns nullopt and sets aReason if the revision
 * is negative. */
class RowPageBuilder
{
public:
  RowPageBuilder& Rows(std::vector<TableRow> aRows);
  RowPageBuilder& RemovedKeys(std::vector<std::string> aRemovedKeys);
  RowPageBuilder& Revision(std::int64_t aRevision);
  RowPageBuilder& HasMore(bool aHasMore);
  RowPageBuilder& IsHistoryLost(bool aIsHistoryLost);
  RowPageBuilder& StoreTimeMs(std::optional<std::int64_t> aStoreTimeMs);
  std::optional<RowPage> Build(Reason& aReason) const;

private:
  RowPage value;
};

}
