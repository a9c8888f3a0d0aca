#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** Condition of a transaction: the row must still have the revision that was
 * read. */
class TableCheck
{
public:
  /** Empty if the store has only one table. */
  const std::string& Table() const { return this->table; }
  const std::string& Key() const { return this->key; }
  /** Expected revision; 0 if the row must not exist. */
  std::int64_t Revision() const { return this->revision; }

  auto operator<=>(const TableCheck&) const = default;

private:
  friend class TableCheckBuilder;

  std::string table;
  std::string key;
  std::int64_t revision = 0;
};

}
