#pragma once

#include "contracts/accept_outcome.h"
#include "contracts/settings_record.h"
#include "contracts/write_outcome.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse {

class Reason;
struct SettingsProposal;

/** True when a revision that was seen replaces the one in force. */
bool
ShouldAdopt(std::int64_t aInForce, std::int64_t aSeen);

/** The record that a proposal becomes on top of the newest one, which is empty
 * before the first; empty, with the reason, when it was made for another. */
std::optional<SettingsRecord>
NextRecord(const std::optional<SettingsRecord>& aNewest,
           const SettingsProposal& aProposal,
           const std::string& aIdentity,
           WallTime aNow,
           Reason& aReason);

/**
 * What became of the attempt aIdentity. aStanding is the record that now stands
 * at its revision, empty when there is none or it could not be read: such a
 * record is never replaced, so another's there rules the attempt out for good.
 */
AcceptOutcome
ResolveAcceptOutcome(WriteOutcome aOutcome,
                     const std::string& aIdentity,
                     const std::optional<SettingsRecord>& aStanding);

}
