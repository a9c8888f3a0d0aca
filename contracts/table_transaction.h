#pragma once

#include "contracts/table_check.h"
#include "contracts/table_write.h"

#include <compare>
#include <string>
#include <vector>

namespace sardinecourse {

/** Writes that take effect atomically, or not at all if a check fails. */
class TableTransaction
{
public:
  const std::vector<TableCheck>& Checks() const { return this->checks; }
  const std::vector<TableWrite>& Writes() const { return this->writes; }

  auto operator<=>(const TableTransaction&) const = default;

private:
  friend class TableTransactionBuilder;

  std::vector<TableCheck> checks;
  std::vector<TableWrite> writes;
};

}
