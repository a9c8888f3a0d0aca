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

/** True when the revision aOffered replaces aInForce, the one in force. */
bool
ShouldAdopt(std::int64_t aInForce, std::int64_t aOffered);

/** Makes the record of a proposal that replaces aNewest, which is empty before
 * the first revision. Returns nullopt and sets aReason when the proposal
 * expects another revision. */
std::optional<SettingsRecord>
NextRecord(const std::optional<SettingsRecord>& aNewest,
           const SettingsProposal& aProposal,
           const std::string& aIdentity,
           WallTime aNow,
           Reason& aReason);

/**
 * Outcome of the attempt aIdentity to write a record. aStored is the record now
 * stored at its revision, empty when there is none or it could not be read. A
 * stored record is never replaced, so one of another attempt means that this
 * attempt can no longer succeed.
 */
AcceptOutcome
ResolveAcceptOutcome(WriteOutcome aOutcome,
                     const std::string& aIdentity,
                     const std::optional<SettingsRecord>& aStored);

}
