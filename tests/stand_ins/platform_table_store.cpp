#include "tests/stand_ins/platform_table_store.h"

#include <nlohmann/json.hpp>

namespace sardinecourse {

using nlohmann::json;

json
PlatformTableStore::Read(const std::string& aKey) const
{
  const auto found = this->rows.find(aKey);
  const Row row = found == this->rows.end() ? Row{} : found->second;
  return { { "key", aKey },
           { "value", row.value },
           { "revision", row.revision } };
}

json
PlatformTableStore::Scan(const std::string& aPrefix) const
{
  json found = json::array();
  for (auto row = this->rows.lower_bound(aPrefix);
       row != this->rows.end() && row->first.starts_with(aPrefix);
       ++row) {
    found.push_back(this->Read(row->first));
  }
  return { { "rows", found } };
}

bool
PlatformTableStore::Commit(const json& aTransaction)
{
  for (const json& check : aTransaction["checks"]) {
    const json row = this->Read(check["key"].get<std::string>());
    if (row["revision"] != check["revision"]) {
      return false;
    }
  }
  ++this->lastRevision;
  for (const json& write : aTransaction["writes"]) {
    const std::string key = write["key"].get<std::string>();
    if (write["value"].is_null()) {
      this->rows.erase(key);
    } else {
      this->rows[key] = { write["value"].get<std::string>(),
                          this->lastRevision };
    }
  }
  return true;
}

}
