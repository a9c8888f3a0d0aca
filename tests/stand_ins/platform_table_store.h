#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace sardinecourse {

/** The stand-in's rows. Revisions never repeat, not even after a delete. */
class PlatformTableStore
{
public:
  nlohmann::json Read(const std::string& aKey) const;
  nlohmann::json Scan(const std::string& aPrefix) const;
  /** Applies all writes when all checks hold; true when it did. */
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
