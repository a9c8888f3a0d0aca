#include "daemon/settings_rows.h"

#include "codecs/settings_json.h"
#include "contracts/settings_record.h"
#include "contracts/table_check_builder.h"
#include "contracts/table_row.h"
#include "contracts/table_transaction_builder.h"
#include "contracts/table_write_builder.h"
#include "contracts/text_delta.h"

#include <vector>

namespace sardinecourse {

std::string
NewestSettingsKey()
{
  return "settings";
}

std::string
SettingsHistoryKey(std::int64_t aRevision)
{
  return "settings/history/" + std::to_string(aRevision);
}

std::string
SettingsTextKey(std::int64_t aRevision)
{
  return "settings/text/" + std::to_string(aRevision);
}

std::string
SettingsDeltaKey(std::int64_t aRevision)
{
  return "settings/delta/" + std::to_string(aRevision);
}

std::optional<SettingsRecord>
RecordOf(const TableRow& aRow, Reason& aReason)
{
  return aRow.Revision() == 0 ? std::nullopt
                              : DecodeSettingsRecord(aRow.Value(), aReason);
}

std::optional<TableTransaction>
AcceptTransaction(const TableRow& aNewest,
                  const SettingsRecord& aRecord,
                  const std::optional<std::string>& aPreviousYaml,
                  const std::string& aYaml,
                  Reason& aReason)
{
  const std::int64_t revision = aRecord.Revision();
  const std::string record = EncodeSettingsRecord(aRecord);
  const auto check = [&aReason](std::string aKey, std::int64_t aRevision) {
    return TableCheckBuilder()
      .Key(std::move(aKey))
      .Revision(aRevision)
      .Build(aReason);
  };
  const auto write = [&aReason](std::string aKey,
                                std::optional<std::string> aValue) {
    return TableWriteBuilder()
      .Key(std::move(aKey))
      .NewValue(std::move(aValue))
      .Build(aReason);
  };
  std::vector<TableCheck> checks{
    *check(NewestSettingsKey(), aNewest.Revision()),
    *check(SettingsHistoryKey(revision), 0),
  };
  std::vector<TableWrite> writes{
    *write(SettingsHistoryKey(revision), record),
    *write(NewestSettingsKey(), record),
    *write(SettingsTextKey(revision), aYaml),
  };
  if (aPreviousYaml) {
    const TextDelta delta = MakeDelta(*aPreviousYaml, aYaml);
    writes.push_back(
      *write(SettingsDeltaKey(revision), EncodeTextDelta(delta)));
  }
  if (revision > kKeptTexts) {
    writes.push_back(
      *write(SettingsDeltaKey(revision - kKeptTexts), std::nullopt));
    writes.push_back(
      *write(SettingsTextKey(revision - kKeptTexts), std::nullopt));
  }
  TableTransactionBuilder builder;
  builder.Checks(std::move(checks)).Writes(std::move(writes));
  return builder.Build(aReason);
}

}
