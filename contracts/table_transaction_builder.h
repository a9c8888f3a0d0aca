#pragma once

#include "contracts/table_transaction.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a TableTransaction. Build() returns nullopt and sets aReason if there
 * are no writes. */
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
