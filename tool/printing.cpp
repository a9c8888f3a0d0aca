#include "tool/printing.h"

#include "codecs/refusal.h"
#include "codecs/settings_json.h"
#include "contracts/settings_answer.h"
#include "contracts/settings_origin.h"
#include "contracts/settings_text.h"
#include "tool/common_options.h"

#include <iomanip>
#include <iostream>

namespace sardinecourse {

namespace {

constexpr int kKeyWidth = 24;
constexpr int kValueWidth = 10;

std::ostream&
operator<<(std::ostream& aStream, const SettingsRecord& aRecord)
{
  return aStream << aRecord.Revision() << ' ' << WallTimeText(aRecord.When())
                 << ' ' << aRecord.Who() << ' ' << aRecord.Note();
}

}

void
PrintOutcome(const CommonOptions& aOptions,
             const std::string& aOutcome,
             const std::string& aText)
{
  std::cout << (aOptions.IsJson() ? EncodeRefusal(aOutcome, Reason()) : aText)
            << '\n';
}

ExitCode
PrintFailure(const CommonOptions& aOptions,
             const std::string& aOutcome,
             const Reason& aReason,
             ExitCode aCode)
{
  if (aOptions.IsJson()) {
    std::cout << EncodeRefusal(aOutcome, aReason) << '\n';
  } else {
    std::cerr << "sardinecourse: " << aOutcome << ": " << aReason.Message()
              << '\n';
  }
  return aCode;
}

ExitCode
PrintNoAnswer(const CommonOptions& aOptions,
              ExchangeProgress aProgress,
              const Reason& aReason)
{
  const bool isSent = aProgress != ExchangeProgress::kNotSent;
  return PrintFailure(aOptions,
                      isSent ? "not-known" : "unavailable",
                      aReason,
                      isSent ? ExitCode::kNotKnown : ExitCode::kUnavailable);
}

void
PrintSettingsAnswer(const CommonOptions& aOptions,
                    const SettingsAnswer& aAnswer,
                    const std::string& aJson)
{
  if (aOptions.IsJson()) {
    std::cout << aJson << '\n';
    return;
  }
  const bool isDone = aAnswer.outcome == AcceptOutcome::kAccepted ||
                      aAnswer.outcome == AcceptOutcome::kUnchanged;
  std::ostream& stream = isDone ? std::cout : std::cerr;
  stream << AcceptOutcomeName(aAnswer.outcome);
  if (aAnswer.record) {
    stream << ": revision " << *aAnswer.record;
  }
  if (!isDone) {
    stream << ": " << aAnswer.reason.Message();
  }
  stream << '\n';
}

void
PrintChanges(const CommonOptions& aOptions,
             std::int64_t aRevision,
             const std::vector<PathChange>& aChanges)
{
  if (aOptions.IsJson()) {
    std::cout << EncodeChanges(aRevision, aChanges) << '\n';
    return;
  }
  for (const PathChange& change : aChanges) {
    if (change.before) {
      std::cout << "- " << change.path << ": " << *change.before << '\n';
    }
    if (change.after) {
      std::cout << "+ " << change.path << ": " << *change.after << '\n';
    }
  }
}

bool
PrintSettingsText(const std::string& aJson, Reason& aReason)
{
  const std::optional<SettingsText> settings =
    DecodeSettingsText(aJson, aReason);
  if (!settings) {
    return false;
  }
  // Only the YAML goes to standard output, so that it can be redirected to a
  // file.
  std::cerr << "revision " << settings->revision << '\n';
  std::cout << settings->yaml;
  return true;
}

bool
PrintHistory(const std::string& aJson, Reason& aReason)
{
  const auto records = DecodeSettingsHistory(aJson, aReason);
  if (!records) {
    return false;
  }
  for (const SettingsRecord& record : *records) {
    std::cout << record << '\n';
  }
  return true;
}

bool
PrintOrigins(const std::string& aJson, Reason& aReason)
{
  const auto origins = DecodeSettingsOrigins(aJson, aReason);
  if (!origins) {
    return false;
  }
  for (const SettingsOrigin& origin : *origins) {
    std::cout << std::left << std::setw(kKeyWidth) << origin.key << ' '
              << std::setw(kValueWidth) << origin.value << ' ' << origin.level
              << '\n';
  }
  return true;
}

}
