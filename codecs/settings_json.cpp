#include "codecs/settings_json.h"

#include "contracts/path_change.h"
#include "contracts/policy_key_traits.h"
#include "contracts/settings_answer.h"
#include "contracts/settings_origin.h"
#include "contracts/settings_proposal.h"
#include "contracts/settings_record_builder.h"
#include "contracts/settings_text.h"
#include "contracts/text_delta.h"
#include "zones/settings_tree.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace sardinecourse {

using nlohmann::json;

namespace {

constexpr std::array<std::pair<AcceptOutcome, std::string_view>, 6> kOutcomes{ {
  { AcceptOutcome::kAccepted, "accepted" },
  { AcceptOutcome::kUnchanged, "unchanged" },
  { AcceptOutcome::kConflict, "conflict" },
  { AcceptOutcome::kInvalid, "invalid" },
  { AcceptOutcome::kUnreachable, "unreachable" },
  { AcceptOutcome::kNotKnown, "not-known" },
} };

/** Serializes a message. Bytes that are not UTF-8 are replaced, since the
 * library would throw an exception for them. */
std::string
Text(const json& aMessage)
{
  return aMessage.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<json>
ParseObject(const std::string& aText, Reason& aReason)
{
  json message = json::parse(aText, nullptr, false);
  if (!message.is_object()) {
    aReason = Reason(Step::kDecode, "", "the message must be a JSON object");
    return std::nullopt;
  }
  return message;
}

std::string
TextAt(const json& aMessage, const char* aKey)
{
  const auto found = aMessage.find(aKey);
  return found != aMessage.end() && found->is_string()
           ? found->get<std::string>()
           : "";
}

std::int64_t
NumberAt(const json& aMessage, const char* aKey)
{
  const auto found = aMessage.find(aKey);
  return found != aMessage.end() && found->is_number_integer()
           ? found->get<std::int64_t>()
           : 0;
}

json
ToJson(const SettingsRecord& aRecord)
{
  return { { "revision", aRecord.Revision() },
           { "identity", aRecord.Identity() },
           { "who", aRecord.Who() },
           { "when", WallTimeText(aRecord.When()) },
           { "when_ms", aRecord.When().time_since_epoch().count() },
           { "note", aRecord.Note() } };
}

std::optional<SettingsRecord>
ToRecord(const json& aMessage, Reason& aReason)
{
  SettingsRecordBuilder builder;
  builder.Revision(NumberAt(aMessage, "revision"));
  builder.Identity(TextAt(aMessage, "identity"));
  builder.Who(TextAt(aMessage, "who")).Note(TextAt(aMessage, "note"));
  builder.When(WallTime(Milliseconds(NumberAt(aMessage, "when_ms"))));
  return builder.Build(aReason);
}

json
PolicyValue(const Policy& aPolicy, const PolicyKeyTraits& aTraits)
{
  const std::int64_t value = aPolicy.Value(aTraits.key);
  return aTraits.choices.empty()
           ? json(value)
           : json(aTraits.choices[static_cast<std::size_t>(value)]);
}

}

std::string
EncodeSettingsRecord(const SettingsRecord& aRecord)
{
  return Text(ToJson(aRecord));
}

std::optional<SettingsRecord>
DecodeSettingsRecord(const std::string& aText, Reason& aReason)
{
  const std::optional<json> message = ParseObject(aText, aReason);
  return message ? ToRecord(*message, aReason) : std::nullopt;
}

std::string
EncodeSettingsHistory(const std::vector<SettingsRecord>& aRecords)
{
  json records = json::array();
  for (const SettingsRecord& record : aRecords) {
    records.push_back(ToJson(record));
  }
  return Text({ { "revisions", std::move(records) } });
}

std::optional<std::vector<SettingsRecord>>
DecodeSettingsHistory(const std::string& aText, Reason& aReason)
{
  const std::optional<json> message = ParseObject(aText, aReason);
  if (!message || !message->contains("revisions")) {
    return std::nullopt;
  }
  std::vector<SettingsRecord> records;
  for (const json& entry : (*message)["revisions"]) {
    std::optional<SettingsRecord> record = ToRecord(entry, aReason);
    if (!record) {
      return std::nullopt;
    }
    records.push_back(std::move(*record));
  }
  return records;
}

std::string
EncodeSettingsText(const SettingsText& aSettings)
{
  return Text(
    { { "revision", aSettings.revision }, { "yaml", aSettings.yaml } });
}

std::optional<SettingsText>
DecodeSettingsText(const std::string& aText, Reason& aReason)
{
  const std::optional<json> message = ParseObject(aText, aReason);
  if (!message) {
    return std::nullopt;
  }
  return SettingsText{ NumberAt(*message, "revision"),
                       TextAt(*message, "yaml") };
}

std::string
EncodeTextDelta(const TextDelta& aDelta)
{
  return Text({ { "before_bytes", aDelta.beforeSize },
                { "prefix_bytes", aDelta.prefixSize },
                { "suffix_bytes", aDelta.suffixSize },
                { "middle", aDelta.middle } });
}

std::optional<TextDelta>
DecodeTextDelta(const std::string& aText, Reason& aReason)
{
  const std::optional<json> message = ParseObject(aText, aReason);
  if (!message) {
    return std::nullopt;
  }
  const auto size = [&message](const char* aKey) {
    return static_cast<std::size_t>(NumberAt(*message, aKey));
  };
  return TextDelta{ size("before_bytes"),
                    size("prefix_bytes"),
                    size("suffix_bytes"),
                    TextAt(*message, "middle") };
}

std::string
EncodeSettingsProposal(const SettingsProposal& aProposal)
{
  json message{ { "who", aProposal.who },
                { "note", aProposal.note },
                { "file", aProposal.file },
                { "yaml", aProposal.yaml } };
  if (aProposal.expectedRevision) {
    message["expected_revision"] = *aProposal.expectedRevision;
  }
  return Text(message);
}

std::optional<SettingsProposal>
DecodeSettingsProposal(const std::string& aText, Reason& aReason)
{
  const std::optional<json> message = ParseObject(aText, aReason);
  if (!message) {
    return std::nullopt;
  }
  SettingsProposal proposal;
  proposal.who = TextAt(*message, "who");
  proposal.note = TextAt(*message, "note");
  proposal.file = TextAt(*message, "file");
  proposal.yaml = TextAt(*message, "yaml");
  if (message->contains("expected_revision")) {
    proposal.expectedRevision = NumberAt(*message, "expected_revision");
  }
  if (proposal.who.empty() || proposal.yaml.empty()) {
    aReason =
      Reason(Step::kDecode, "", "a proposal must have \"who\" and \"yaml\"");
    return std::nullopt;
  }
  return proposal;
}

std::string_view
AcceptOutcomeName(AcceptOutcome aOutcome)
{
  for (const auto& [outcome, name] : kOutcomes) {
    if (outcome == aOutcome) {
      return name;
    }
  }
  return "not-known";
}

std::string
EncodeSettingsAnswer(const SettingsAnswer& aAnswer)
{
  json message{ { "outcome", AcceptOutcomeName(aAnswer.outcome) },
                { "step", StepName(aAnswer.reason.At()) },
                { "peer", aAnswer.reason.Peer() },
                { "reason", aAnswer.reason.Text() } };
  if (aAnswer.record) {
    message["change"] = ToJson(*aAnswer.record);
  }
  return Text(message);
}

std::optional<SettingsAnswer>
DecodeSettingsAnswer(const std::string& aText, Reason& aReason)
{
  const std::optional<json> message = ParseObject(aText, aReason);
  if (!message) {
    return std::nullopt;
  }
  SettingsAnswer answer;
  const std::string name = TextAt(*message, "outcome");
  for (const auto& [outcome, outcomeName] : kOutcomes) {
    if (outcomeName == name) {
      answer.outcome = outcome;
    }
  }
  answer.reason = Reason(
    Step::kSettings, TextAt(*message, "peer"), TextAt(*message, "reason"));
  if (message->contains("change")) {
    answer.record = ToRecord((*message)["change"], aReason);
  }
  return answer;
}

std::string
EncodeSettingsOrigins(const SettingsTree& aTree, const SettingsScope& aScope)
{
  const Policy policy = aTree.Resolve(aScope);
  json values = json::array();
  for (const PolicyKeyTraits& traits : AllPolicyKeys()) {
    values.push_back(
      { { "key", traits.name },
        { "value", PolicyValue(policy, traits) },
        { "origin", SettingsLevelName(policy.Origin(traits.key)) } });
  }
  return Text({ { "data_centre", aScope.dataCentre.Text() },
                { "team", aScope.team.Text() },
                { "service", aScope.service.Text() },
                { "values", std::move(values) } });
}

std::optional<std::vector<SettingsOrigin>>
DecodeSettingsOrigins(const std::string& aText, Reason& aReason)
{
  const std::optional<json> message = ParseObject(aText, aReason);
  if (!message || !message->contains("values")) {
    return std::nullopt;
  }
  std::vector<SettingsOrigin> origins;
  for (const json& entry : (*message)["values"]) {
    const json value =
      entry.is_object() ? entry.value("value", json()) : json();
    origins.push_back(
      { TextAt(entry, "key"),
        value.is_string() ? value.get<std::string>() : value.dump(),
        TextAt(entry, "origin") });
  }
  return origins;
}

std::string
EncodeChanges(std::int64_t aRevision, const std::vector<PathChange>& aChanges)
{
  json changes = json::array();
  for (const PathChange& change : aChanges) {
    json entry{ { "path", change.path } };
    if (change.before) {
      entry["before"] = *change.before;
    }
    if (change.after) {
      entry["after"] = *change.after;
    }
    changes.push_back(std::move(entry));
  }
  return Text({ { "revision", aRevision }, { "changes", std::move(changes) } });
}

}
