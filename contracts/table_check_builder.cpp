#include "contracts/table_check_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

TableCheckBuilder&
TableCheckBuilder::Table(std::string aTable)
{
  this->value.table = std::move(aTable);
  return *this;
}

TableCheckBuilder&
TableCheckBuilder::Key(std::string aKey)
{
  this->value.key = std::move(aKey);
  return *this;
}

TableCheckBuilder&
TableCheckBuilder::Revision(std::int64_t aRevision)
{
  this->value.revision = aRevision;
  return *this;
}

std::optional<TableCheck>
TableCheckBuilder::Build(Reason& aReason) const
{
  if (this->value.key.empty()) {
    aReason =
      Reason(Step::kPlatformWrite, this->value.key, "a check needs a key");
    return std::nullopt;
  }
  return this->value;
}

}
