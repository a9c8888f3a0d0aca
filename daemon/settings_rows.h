#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse {

class Reason;
class SettingsRecord;
class TableRow;
class TableTransaction;

/**
 * Rows of the table that hold the settings:
 *   settings                     record of the newest revision; hosts poll it
 *   settings/history/REVISION    record of each revision; never replaced
 *   settings/text/REVISION       YAML of the last kKeptTexts revisions
 *   settings/delta/REVISION      its difference from the YAML before, so that a
 *                                host need not read the whole at each change
 */
constexpr std::int64_t kKeptTexts = 64;

std::string
NewestSettingsKey();
std::string
SettingsHistoryKey(std::int64_t aRevision);
std::string
SettingsTextKey(std::int64_t aRevision);

std::string
SettingsDeltaKey(std::int64_t aRevision);

/** The record in a row; empty without a reason when there is no such row. */
std::optional<SettingsRecord>
RecordOf(const TableRow& aRow, Reason& aReason);

/** Puts aRecord in the place of the record that stands in aNewest. aBefore is
 * the YAML of that record, when it is known here. */
std::optional<TableTransaction>
AcceptTransaction(const TableRow& aNewest,
                  const SettingsRecord& aRecord,
                  const std::optional<std::string>& aBefore,
                  const std::string& aYaml,
                  Reason& aReason);

}
