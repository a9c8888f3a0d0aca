#pragma once

#include <cstdint>

namespace sardinecourse {

class Reason;
struct SettingsAnswer;
struct SettingsProposal;

/** Log lines of the settings manager. aSource is platform, peer or operator. */
void
LogAdopted(std::int64_t aRevision, const char* aSource);
void
LogUnreadable(std::int64_t aRevision,
              const char* aSource,
              const Reason& aReason);
void
LogProposal(const SettingsProposal& aProposal, const SettingsAnswer& aAnswer);

}
