#include "codecs/platform_json.h"

#include "codecs/stored_value.h"
#include "contracts/table_row_builder.h"
#include "contracts/table_transaction.h"
#include "core/reason.h"
#include "machines/host_list_builder.h"

#include <nlohmann/json.hpp>

namespace sardinecourse {

using nlohmann::json;

namespace {

/** Parses JSON; the result is a discarded value when the text is not JSON. */
json
Parse(const std::string& aText)
{
  return json::parse(aText, nullptr, false);
}

std::optional<TableRow>
ToRow(const json& aJson, Reason& aReason)
{
  const bool isRow = aJson.is_object() && aJson.contains("key") &&
                     aJson["key"].is_string() && aJson.contains("value") &&
                     aJson["value"].is_string() && aJson.contains("revision") &&
                     aJson["revision"].is_number_integer();
  if (!isRow) {
    aReason = Reason(Step::kPlatformRead,
                     "",
                     "a row must be an object with key, value and revision");
    return std::nullopt;
  }
  TableRowBuilder builder;
  builder.Key(aJson["key"].get<std::string>());
  builder.Value(aJson["value"].get<std::string>());
  builder.Revision(aJson["revision"].get<std::int64_t>());
  return builder.Build(aReason);
}

bool
ReadNames(const json& aJson,
          const char* aKey,
          std::vector<std::string>& aNames,
          Reason& aReason)
{
  const bool isList =
    aJson.is_object() && aJson.contains(aKey) && aJson[aKey].is_array();
  if (!isList) {
    aReason = Reason(Step::kPlatformRead,
                     "",
                     std::string("the host list lacks its array ") + aKey);
    return false;
  }
  for (const json& name : aJson[aKey]) {
    if (!name.is_string()) {
      aReason =
        Reason(Step::kPlatformRead, "", "a host's name must be a string");
      return false;
    }
    aNames.push_back(name.get<std::string>());
  }
  return true;
}

}

std::string
EncodeReadRequest(const std::string& aKey)
{
  return json{ { "key", aKey } }.dump();
}

std::string
EncodeScanRequest(const std::string& aPrefix)
{
  return json{ { "prefix", aPrefix } }.dump();
}

std::string
EncodeTransaction(const TableTransaction& aTransaction,
                  const std::string& aAttempt)
{
  json checks = json::array();
  for (const TableCheck& check : aTransaction.Checks()) {
    checks.push_back(
      { { "key", check.Key() }, { "revision", check.Revision() } });
  }
  json writes = json::array();
  for (const TableWrite& write : aTransaction.Writes()) {
    json entry{ { "key", write.Key() }, { "value", nullptr } };
    if (write.NewValue()) {
      entry["value"] = EncodeStoredValue({ aAttempt, *write.NewValue() });
    }
    writes.push_back(std::move(entry));
  }
  const json message{ { "checks", std::move(checks) },
                      { "writes", std::move(writes) } };
  return message.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<TableRow>
DecodeRow(const std::string& aText, Reason& aReason)
{
  return ToRow(Parse(aText), aReason);
}

std::optional<std::vector<TableRow>>
DecodeRows(const std::string& aText, Reason& aReason)
{
  const json message = Parse(aText);
  if (!message.is_object() || !message.contains("rows") ||
      !message["rows"].is_array()) {
    aReason = Reason(Step::kPlatformRead, "", "a scan's answer lacks its rows");
    return std::nullopt;
  }
  std::vector<TableRow> rows;
  for (const json& entry : message["rows"]) {
    std::optional<TableRow> row = ToRow(entry, aReason);
    if (!row) {
      return std::nullopt;
    }
    rows.push_back(std::move(*row));
  }
  return rows;
}

std::optional<HostList>
DecodeHostList(const std::string& aText, Reason& aReason)
{
  const json message = Parse(aText);
  std::vector<std::string> live;
  std::vector<std::string> leaving;
  if (!ReadNames(message, "live", live, aReason) ||
      !ReadNames(message, "leaving", leaving, aReason)) {
    return std::nullopt;
  }
  HostListBuilder builder;
  builder.Live(std::move(live)).Leaving(std::move(leaving));
  return builder.Build(aReason);
}

}
