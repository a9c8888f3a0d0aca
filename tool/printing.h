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

/** Prints an outcome: aText for people, or the outcome's name in JSON. */
void
PrintOutcome(const CommonOptions& aOptions,
             const std::string& aOutcome,
             const std::string& aText);

/** Prints why a verb failed, and gives aCode back. */
ExitCode
PrintFailure(const CommonOptions& aOptions,
             const std::string& aOutcome,
             const Reason& aReason,
             ExitCode aCode);

/** For a request without an answer: not done, or not known. */
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

/** Print a daemon's answer for people; false, with the reason, when it cannot
 * be decoded. */
bool
PrintSettingsText(const std::string& aJson, Reason& aReason);
bool
PrintHistory(const std::string& aJson, Reason& aReason);
bool
PrintOrigins(const std::string& aJson, Reason& aReason);

}
