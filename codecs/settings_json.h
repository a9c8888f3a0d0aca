#pragma once

#include "contracts/accept_outcome.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinecourse {

class Reason;
class SettingsRecord;
class SettingsTree;
struct PathChange;
struct SettingsAnswer;
struct SettingsOrigin;
struct SettingsProposal;
struct SettingsScope;
struct SettingsText;
struct TextDelta;

// Messages about settings: rows of the platform's table, and the requests and
// answers of operators. Each decoder returns empty, with the reason, when the
// text is not the expected message.

/** Encodes one entry of the settings history; "when" is UTC text, "when_ms"
 * Unix milliseconds. */
std::string
EncodeSettingsRecord(const SettingsRecord& aRecord);
std::optional<SettingsRecord>
DecodeSettingsRecord(const std::string& aText, Reason& aReason);

/** Encodes {"revisions": [...]} in the given order. */
std::string
EncodeSettingsHistory(const std::vector<SettingsRecord>& aRecords);
std::optional<std::vector<SettingsRecord>>
DecodeSettingsHistory(const std::string& aText, Reason& aReason);

/** Encodes the YAML text of one settings revision. */
std::string
EncodeSettingsText(const SettingsText& aSettings);
std::optional<SettingsText>
DecodeSettingsText(const std::string& aText, Reason& aReason);

/** Encodes the difference of two texts; sizes are in bytes. */
std::string
EncodeTextDelta(const TextDelta& aDelta);
std::optional<TextDelta>
DecodeTextDelta(const std::string& aText, Reason& aReason);

/** Encodes an operator's proposal of new settings. */
std::string
EncodeSettingsProposal(const SettingsProposal& aProposal);
/** Empty also when "who" or "yaml" is absent or empty. */
std::optional<SettingsProposal>
DecodeSettingsProposal(const std::string& aText, Reason& aReason);

/** Name of an outcome in messages, for example "conflict". */
std::string_view
AcceptOutcomeName(AcceptOutcome aOutcome);
/** Encodes the answer to a proposal. */
std::string
EncodeSettingsAnswer(const SettingsAnswer& aAnswer);
std::optional<SettingsAnswer>
DecodeSettingsAnswer(const std::string& aText, Reason& aReason);

/** Encodes every policy value in force in a scope, with the level that sets it.
 */
std::string
EncodeSettingsOrigins(const SettingsTree& aTree, const SettingsScope& aScope);
std::optional<std::vector<SettingsOrigin>>
DecodeSettingsOrigins(const std::string& aText, Reason& aReason);

/** Encodes the changes compared with the settings of the given revision. */
std::string
EncodeChanges(std::int64_t aRevision, const std::vector<PathChange>& aChanges);

}
