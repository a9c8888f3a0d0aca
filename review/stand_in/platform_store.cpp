#include "review/stand_in/platform_store.h"

#include "review/stand_in/words.h"

#include <boost/beast/core/detail/base64.hpp>
#include <utility>

namespace review {

using nlohmann::json;
namespace base64 = boost::beast::detail::base64;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kPreconditionFailed = 412;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxCallBytes = 1'000'000;
constexpr std::size_t kMaxPageRows = 500;

std::string
Encoded(const std::string& aText)
{
  std::string text(base64::encoded_size(aText.size()), '\0');
  text.resize(base64::encode(text.data(), aText.data(), aText.size()));
  return text;
}

std::size_t
DecodedBytes(const std::string& aText)
{
  std::size_t bytes = aText.size() / 4 * 3;
  for (std::size_t at = aText.size(); at > 0 && aText[at - 1] == '='; --at) {
    --bytes;
  }
  return bytes;
}

json
Entries(const json& aTransaction, const std::string& aField)
{
  return aTransaction.value(aField, json::array());
}

}

PlatformStore::Name
PlatformStore::NameOf(const json& aRow)
{
  return { aRow.value("Table", ""),
           aRow.value("part", ""),
           aRow.value("Key", "") };
}

json
PlatformStore::RowOf(const Name& aName, const Row& aRow)
{
  json row = { { "Table", std::get<0>(aName) },
               { "part", std::get<1>(aName) },
               { "Key", std::get<2>(aName) },
               { "Ver", aRow.version } };
  if (aRow.isRemoved) {
    row["Removed"] = true;
  } else {
    row["Value"] = aRow.value;
  }
  return row;
}

std::string
PlatformStore::Refusal(const std::string& aBody, const json& aTransaction)
{
  if (!aTransaction.is_object()) {
    return "the body is not an object";
  }
  if (aBody.size() > kMaxCallBytes) {
    return "the call is larger than 1 MB";
  }
  const std::size_t entries = Entries(aTransaction, Word("checks")).size() +
                              Entries(aTransaction, Word("writes")).size() +
                              Entries(aTransaction, Word("removals")).size();
  if (entries > kMaxEntries) {
    return "the call has over 100 entries";
  }
  for (const json& row : Entries(aTransaction, Word("writes"))) {
    const std::size_t bytes = DecodedBytes(row.value("Value", ""));
    if (bytes > kMaxRowBytes) {
      return "the value of " + row.value("Table", "") + "/" +
             row.value("Key", "") + " has " + std::to_string(bytes) + " bytes";
    }
  }
  return "";
}

int
PlatformStore::Commit(const std::string& aBody, json& aAnswer)
{
  const json transaction = json::parse(aBody, nullptr, false);
  const std::string refusal = Refusal(aBody, transaction);
  if (!refusal.empty()) {
    aAnswer = { { "Error", refusal } };
    return kBadRequest;
  }
  bool isMet = true;
  json current = json::array();
  for (const json& check : Entries(transaction, Word("checks"))) {
    const auto found = this->rows.find(NameOf(check));
    const bool exists = found != this->rows.end() && !found->second.isRemoved;
    const std::int64_t is = exists ? found->second.version : 0;
    isMet = isMet && is == check.value("Ver", std::int64_t{ 0 });
    if (exists) {
      current.push_back(RowOf(found->first, found->second));
    }
  }
  if (!isMet) {
    aAnswer = { { "Ver", this->version }, { "rows", current } };
    return kPreconditionFailed;
  }
  ++this->version;
  for (const json& row : Entries(transaction, Word("writes"))) {
    this->rows[NameOf(row)] =
      Row{ row.value("Value", ""), this->version, false };
  }
  for (const json& row : Entries(transaction, Word("removals"))) {
    this->rows[NameOf(row)] = Row{ "", this->version, true };
  }
  aAnswer = { { "Ver", this->version } };
  return kOk;
}

bool
PlatformStore::Writes(const std::string& aBody, const std::string& aTable)
{
  const json transaction = json::parse(aBody, nullptr, false);
  if (!transaction.is_object()) {
    return false;
  }
  for (const std::string& field : { Word("writes"), Word("removals") }) {
    for (const json& row : Entries(transaction, field)) {
      if (row.value("Table", "") == aTable) {
        return true;
      }
    }
  }
  return false;
}

json
PlatformStore::Range(const std::string& aTable,
                     const std::string& aPart,
                     const std::string& aFrom,
                     const std::string& aTo) const
{
  json page = json::array();
  std::size_t bytes = 0;
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
    bytes += row->second.value.size();
    if (page.size() == kMaxPageRows || bytes > kMaxCallBytes) {
      hasMore = true;
      break;
    }
    page.push_back(RowOf(row->first, row->second));
  }
  return { { "rows", page }, { "HasMore", hasMore }, { "Ver", this->version } };
}

json
PlatformStore::Changes(const std::string& aTable, std::int64_t aAfter) const
{
  std::map<std::int64_t, json> changed;
  for (auto row = this->rows.lower_bound({ aTable, "", "" });
       row != this->rows.end() && std::get<0>(row->first) == aTable;
       ++row) {
    if (row->second.version > aAfter) {
      changed[row->second.version].push_back(RowOf(row->first, row->second));
    }
  }
  json list = json::array();
  for (const auto& [revision, rowsOfRevision] : changed) {
    list.insert(list.end(), rowsOfRevision.begin(), rowsOfRevision.end());
  }
  return { { "rows", list }, { "Ver", this->version } };
}

void
PlatformStore::Put(const std::string& aTable,
                   const std::string& aKey,
                   const std::string& aValue)
{
  ++this->version;
  this->rows[{ aTable, "", aKey }] =
    Row{ Encoded(aValue), this->version, false };
}

}
