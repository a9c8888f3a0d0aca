#include "contracts/table_transaction_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

TableTransactionBuilder&
TableTransactionBuilder::Checks(std::vector<TableCheck> aChecks)
{
  this->value.checks = std::move(aChecks);
  return *this;
}

TableTransactionBuilder&
TableTransactionBuilder::Writes(std::vector<TableWrite> aWrites)
{
  this->value.writes = std::move(aWrites);
  return *this;
}

std::optional<TableTransaction>
TableTransactionBuilder::Build(Reason& aReason) const
{
  if (this->value.writes.empty()) {
    aReason = Reason(
      Step::kPlatformWrite, "", "a transaction needs at least one write");
    return std::nullopt;
  }
  return this->value;
}

}
