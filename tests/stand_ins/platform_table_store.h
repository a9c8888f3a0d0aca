#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace sardinecourse {

/** Rows of the platform's table. Revisions are never reused, not even after a
 * delete. */
class PlatformTableStore
{
public:
  /** The row as {key, value, revision}; revision 0 when it does not exist. */
  nlohmann::json Read(const std::string& aKey) const;
  /** All rows whose key starts with aPrefix, as {rows}. */
  nlohmann::json Scan(const std::string& aPrefix) const;
  /** Applies all writes and returns true when every check matches; else
   * changes nothing. A null value deletes the row. */
  bool Commit(const nlohmann::json& aTransaction);

private:
  struct Row
  {
    std::string value;
    std::int64_t revision = 0;
  };

  std::map<std::string, Row> rows;
  std::int64_t lastRevision = 0;
};

}
