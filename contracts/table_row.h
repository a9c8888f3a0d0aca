#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** A row of the platform's table as it was read. */
class TableRow
{
public:
  /** Empty if the store has only one table. */
  const std::string& Table() const { return this->table; }
  const std::string& Key() const { return this->key; }
  /** Empty if the row does not exist. */
  const std::string& Value() const { return this->value; }
  /** The platform's revision of the row; 0 if the row does not exist. */
  std::int64_t Revision() const { return this->revision; }

  auto operator<=>(const TableRow&) const = default;

private:
  friend class TableRowBuilder;

  std::string table;
  std::string key;
  std::string value;
  std::int64_t revision = 0;
};

}
