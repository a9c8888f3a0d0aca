#pragma once

#include "contracts/path_change.h"
#include "links/exchange_progress.h"
#include "tool/exit_code.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

class CommonOptions;
class Reason;
struct SettingsAnswer;

/** Prints aText, or with --json the name of the outcome. */
void
PrintOutcome(const CommonOptions& aOptions,
             const std::string& aOutcome,
             const std::string& aText);

/** Prints why a verb failed (JSON to standard output, text to standard error)
 * and returns aCode. */
ExitCode
PrintFailure(const CommonOptions& aOptions,
             const std::string& aOutcome,
             const Reason& aReason,
             ExitCode aCode);

/** Prints and returns the failure of a request without an answer: kUnavailable
 * if it was not sent, else kNotKnown. */
ExitCode
PrintNoAnswer(const CommonOptions& aOptions,
              ExchangeProgress aProgress,
              const Reason& aReason);

void
PrintSettingsAnswer(const CommonOptions& aOptions,
                    const SettingsAnswer& aAnswer,
                    const std::string& aJson);
void
PrintChanges(const CommonOptions& aOptions,
             std::int64_t aRevision,
             const std::vector<PathChange>& aChanges);

/** These print a daemon's answer as text; false, with the reason, when it
 * cannot be decoded. */
bool
PrintSettingsText(const std::string& aJson, Reason& aReason);
bool
PrintHistory(const std::string& aJson, Reason& aReason);
bool
PrintOrigins(const std::string& aJson, Reason& aReason);

}
