#include "contracts/table_write_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

TableWriteBuilder&
TableWriteBuilder::Table(std::string aTable)
{
  this->value.table = std::move(aTable);
  return *this;
}

TableWriteBuilder&
TableWriteBuilder::Key(std::string aKey)
{
  this->value.key = std::move(aKey);
  return *this;
}

TableWriteBuilder&
TableWriteBuilder::NewValue(std::optional<std::string> aNewValue)
{
  this->value.newValue = std::move(aNewValue);
  return *this;
}

std::optional<TableWrite>
TableWriteBuilder::Build(Reason& aReason) const
{
  if (this->value.key.empty()) {
    aReason =
      Reason(Step::kPlatformWrite, this->value.key, "a write needs a key");
    return std::nullopt;
  }
  return this->value;
}

}
