#pragma once

#include "contracts/table_check.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a TableCheck. Build() returns nullopt and sets aReason if the key is
 * missing. */
class TableCheckBuilder
{
public:
  TableCheckBuilder& Table(std::string aTable);
  TableCheckBuilder& Key(std::string aKey);
  TableCheckBuilder& Revision(std::int64_t aRevision);
  std::optional<TableCheck> Build(Reason& aReason) const;

private:
  TableCheck value;
};

}
