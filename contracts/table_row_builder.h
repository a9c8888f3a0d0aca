#pragma once

#include "contracts/table_row.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a TableRow. Build() returns nullopt and sets aReason if the key is
 * missing. */
class TableRowBuilder
{
public:
  TableRowBuilder& Table(std::string aTable);
  TableRowBuilder& Key(std::string aKey);
  TableRowBuilder& Value(std::string aValue);
  TableRowBuilder& Revision(std::int64_t aRevision);
  std::optional<TableRow> Build(Reason& aReason) const;

private:
  TableRow value;
};

}
