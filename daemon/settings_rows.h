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
 *   settings/delta/REVISION      its difference from the previous YAML, so that
 *                                hosts need not read the full text each time
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

/** Decodes the record in a row. Empty without a reason if the row does not
 * exist; empty with a reason if it cannot be decoded. */
std::optional<SettingsRecord>
RecordOf(const TableRow& aRow, Reason& aReason);

/** Builds the transaction that replaces the record in aNewest by aRecord, with
 * text aYaml. aPreviousYaml is the YAML of the replaced record, if this host
 * has it; without it no delta is stored. */
std::optional<TableTransaction>
AcceptTransaction(const TableRow& aNewest,
                  const SettingsRecord& aRecord,
                  const std::optional<std::string>& aPreviousYaml,
                  const std::string& aYaml,
                  Reason& aReason);

}
