#include "tests/stand_ins/site_store.h"

#include "codecs/base64.h"

namespace sardinecourse {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxRows = 500;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxValueBytes = 65'536;
constexpr std::size_t kMaxKeyBytes = 200;
constexpr std::size_t kMaxCallBytes = 1'000'000;

}

SiteStore::Name
SiteStore::NameOf(const json& aRow)
{
  return { aRow.value("Table", ""),
           aRow.value("part", ""),
           aRow.value("Key", "") };
}

json
SiteStore::RowObject(const Name& aName, const Row& aRow)
{
  json object = { { "Table", std::get<0>(aName) },
                  { "part", std::get<1>(aName) },
                  { "Key", std::get<2>(aName) },
                  { "Ver", aRow.version } };
  if (aRow.isRemoved) {
    object["Removed"] = true;
  } else {
    object["Value"] = aRow.value;
  }
  return object;
}

std::int64_t
SiteStore::VersionOf(const Name& aName) const
{
  const auto found = this->rows.find(aName);
  return found == this->rows.end() || found->second.isRemoved
           ? 0
           : found->second.version;
}

std::string
SiteStore::Refusal(const json& aTransaction)
{
  std::size_t entries = 0;
  for (const char* list : { "ExpectedRev", "SetKeys", "Remove" }) {
    for (const json& row : aTransaction.value(list, json::array())) {
      ++entries;
      if (row.value("Key", "").size() > kMaxKeyBytes) {
        return "a key is too long";
      }
      if (row.value("Value", "").size() > kMaxValueBytes) {
        return "the value of " + row.value("Key", "") + " is too large";
      }
    }
  }
  if (entries > kMaxEntries) {
    return "there are too many entries";
  }
  return aTransaction.dump().size() > kMaxCallBytes ? "the call is too large"
                                                    : "";
}

bool
SiteStore::Apply(const json& aTransaction, json& aAnswer)
{
  json current = json::array();
  bool areConditionsMet = true;
  for (const json& check : aTransaction.value("ExpectedRev", json::array())) {
    const Name name = NameOf(check);
    const std::int64_t version = this->VersionOf(name);
    areConditionsMet =
      areConditionsMet && version == check.value("Ver", std::int64_t{ -1 });
    if (version > 0) {
      current.push_back(RowObject(name, this->rows.at(name)));
    }
  }
  if (!areConditionsMet) {
    aAnswer = { { "rows", current }, { "Ver", this->version } };
    return false;
  }
  ++this->version;
  for (const json& row : aTransaction.value("SetKeys", json::array())) {
    this->Write(NameOf(row), row.value("Value", ""), false);
  }
  for (const json& row : aTransaction.value("Remove", json::array())) {
    this->Write(NameOf(row), "", true);
  }
  aAnswer = { { "Ver", this->version } };
  return true;
}

json
SiteStore::Range(const std::string& aTable,
                 const std::string& aPart,
                 const std::string& aFrom,
                 const std::string& aTo) const
{
  json found = json::array();
  bool hasMore = false;
  for (auto row = this->rows.lower_bound({ aTable, aPart, aFrom });
       row != this->rows.end();
       ++row) {
    const auto& [table, part, key] = row->first;
    if (table != aTable || part != aPart || (!aTo.empty() && key >= aTo)) {
      break;
    }
    if (row->second.isRemoved) {
      continue;
    }
    if (found.size() == kMaxRows) {
      hasMore = true;
      break;
    }
    found.push_back(RowObject(row->first, row->second));
  }
  return { { "rows", found },
           { "HasMore", hasMore },
           { "Ver", this->version } };
}

json
SiteStore::Changes(const std::string& aTable, std::int64_t aAfter) const
{
  json rows = json::array();
  const auto table = this->changes.find(aTable);
  if (table != this->changes.end()) {
    for (auto change = table->second.upper_bound(aAfter);
         change != table->second.end();
         ++change) {
      for (const Name& name : change->second) {
        const Row& row = this->rows.at(name);
        if (row.version == change->first) {
          rows.push_back(RowObject(name, row));
        }
      }
    }
  }
  return { { "rows", rows }, { "Ver", this->version } };
}

bool
SiteStore::HasChanges(const std::string& aTable, std::int64_t aAfter) const
{
  const auto table = this->changes.find(aTable);
  return table != this->changes.end() && table->second.rbegin()->first > aAfter;
}

void
SiteStore::Write(const Name& aName, const std::string& aValue, bool aIsRemoved)
{
  this->rows[aName] = Row{ aValue, this->version, aIsRemoved };
  this->changes[std::get<0>(aName)][this->version].push_back(aName);
}

void
SiteStore::Put(const std::string& aTable,
               const std::string& aKey,
               const std::string& aValue)
{
  ++this->version;
  this->Write({ aTable, "", aKey }, EncodeBase64(aValue), false);
}

void
SiteStore::Remove(const std::string& aTable, const std::string& aKey)
{
  ++this->version;
  this->Write({ aTable, "", aKey }, "", true);
}

}
