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

/** Messages about settings: rows of the table, and what operators ask and are
 * told. Decoders are empty, with the reason, when a text is no such message. */
std::string
EncodeSettingsRecord(const SettingsRecord& aRecord);
std::optional<SettingsRecord>
DecodeSettingsRecord(const std::string& aText, Reason& aReason);

std::string
EncodeSettingsHistory(const std::vector<SettingsRecord>& aRecords);
std::optional<std::vector<SettingsRecord>>
DecodeSettingsHistory(const std::string& aText, Reason& aReason);

std::string
EncodeSettingsText(const SettingsText& aSettings);
std::optional<SettingsText>
DecodeSettingsText(const std::string& aText, Reason& aReason);

std::string
EncodeTextDelta(const TextDelta& aDelta);
std::optional<TextDelta>
DecodeTextDelta(const std::string& aText, Reason& aReason);

std::string
EncodeSettingsProposal(const SettingsProposal& aProposal);
std::optional<SettingsProposal>
DecodeSettingsProposal(const std::string& aText, Reason& aReason);

/** For example "conflict". */
std::string_view
AcceptOutcomeName(AcceptOutcome aOutcome);
std::string
EncodeSettingsAnswer(const SettingsAnswer& aAnswer);
std::optional<SettingsAnswer>
DecodeSettingsAnswer(const std::string& aText, Reason& aReason);

/** Each policy value in force at a place, and the level it comes from. */
std::string
EncodeSettingsOrigins(const SettingsTree& aTree, const SettingsScope& aScope);
std::optional<std::vector<SettingsOrigin>>
DecodeSettingsOrigins(const std::string& aText, Reason& aReason);

/** What differs from the settings of a revision. */
std::string
EncodeChanges(std::int64_t aRevision, const std::vector<PathChange>& aChanges);

}
