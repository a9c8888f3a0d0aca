#pragma once

#include <compare>
#include <optional>
#include <string>

namespace sardinecourse {

/** One write of a transaction. */
class TableWrite
{
public:
  /** Empty if the store has only one table. */
  const std::string& Table() const { return this->table; }
  const std::string& Key() const { return this->key; }
  /** New value of the row; empty to delete the row. */
  const std::optional<std::string>& NewValue() const { return this->newValue; }

  auto operator<=>(const TableWrite&) const = default;

private:
  friend class TableWriteBuilder;

  std::string table;
  std::string key;
  std::optional<std::string> newValue;
};

}
