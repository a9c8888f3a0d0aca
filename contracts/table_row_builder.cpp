#include "contracts/table_row_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

TableRowBuilder&
TableRowBuilder::Table(std::string aTable)
{
  this->value.table = std::move(aTable);
  return *this;
}

TableRowBuilder&
TableRowBuilder::Key(std::string aKey)
{
  this->value.key = std::move(aKey);
  return *this;
}

TableRowBuilder&
TableRowBuilder::Value(std::string aValue)
{
  this->value.value = std::move(aValue);
  return *this;
}

TableRowBuilder&
TableRowBuilder::Revision(std::int64_t aRevision)
{
  this->value.revision = aRevision;
  return *this;
}

std::optional<TableRow>
TableRowBuilder::Build(Reason& aReason) const
{
  if (this->value.key.empty()) {
    aReason = Reason(Step::kPlatformRead, this->value.key, "a row needs a key");
    return std::nullopt;
  }
  return this->value;
}

}
