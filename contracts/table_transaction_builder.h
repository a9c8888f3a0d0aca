#pragma once

#include "contracts/table_transaction.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a TableTransaction; Build() is empty, with the reason, when a field
 * is missing or out of range. */
class TableTransactionBuilder
{
public:
  TableTransactionBuilder& Checks(std::vector<TableCheck> aChecks);
  TableTransactionBuilder& Writes(std::vector<TableWrite> aWrites);
  std::optional<TableTransaction> Build(Reason& aReason) const;

private:
  TableTransaction value;
};

}
