#pragma once

#include "contracts/table_write.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a TableWrite. Build() returns nullopt and sets aReason if the key is
 * missing. */
class TableWriteBuilder
{
public:
  TableWriteBuilder& Table(std::string aTable);
  TableWriteBuilder& Key(std::string aKey);
  TableWriteBuilder& NewValue(std::optional<std::string> aNewValue);
  std::optional<TableWrite> Build(Reason& aReason) const;

private:
  TableWrite value;
};

}
