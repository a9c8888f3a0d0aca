#include "contracts/row_page_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

RowPageBuilder&
RowPageBuilder::Rows(std::vector<TableRow> aRows)
{
  this->value.rows = std::move(aRows);
  return *this;
}

RowPageBuilder&
RowPageBuilder::RemovedKeys(std::vector<std::string> aRemovedKeys)
{
  this->value.removedKeys = std::move(aRemovedKeys);
  return *this;
}

RowPageBuilder&
RowPageBuilder::Revision(std::int64_t aRevision)
{
  this->value.revision = aRevision;
  return *this;
}

RowPageBuilder&
RowPageBuilder::HasMore(bool aHasMore)
{
  this->value.hasMore = aHasMore;
  return *this;
}

RowPageBuilder&
RowPageBuilder::IsHistoryLost(bool aIsHistoryLost)
{
  this->value.isHistoryLost = aIsHistoryLost;
  return *this;
}

RowPageBuilder&
RowPageBuilder::StoreTimeMs(std::optional<std::int64_t> aStoreTimeMs)
{
  this->value.storeTimeMs = aStoreTimeMs;
  return *this;
}

std::optional<RowPage>
RowPageBuilder::Build(Reason& aReason) const
{
  if (this->value.revision < 0) {
    aReason =
      Reason(Step::kPlatformRead, "", "the revision must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
