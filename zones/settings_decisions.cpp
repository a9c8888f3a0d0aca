#include "zones/settings_decisions.h"

#include "contracts/settings_proposal.h"
#include "contracts/settings_record_builder.h"
#include "core/reason.h"

namespace sardinecourse {

namespace {

std::string
Describe(const SettingsRecord& aRecord)
{
  return "revision " + std::to_string(aRecord.Revision()) + " by " +
         aRecord.Who() + " at " + WallTimeText(aRecord.When()) + " (" +
         aRecord.Note() + ")";
}

}

bool
ShouldAdopt(std::int64_t aInForce, std::int64_t aOffered)
{
  return aOffered > aInForce;
}

std::optional<SettingsRecord>
NextRecord(const std::optional<SettingsRecord>& aNewest,
           const SettingsProposal& aProposal,
           const std::string& aIdentity,
           WallTime aNow,
           Reason& aReason)
{
  const std::int64_t newest = aNewest ? aNewest->Revision() : 0;
  if (aProposal.expectedRevision.value_or(0) != newest) {
    const std::string newestText = aNewest
                                     ? Describe(*aNewest) + " is the newest"
                                     : "nothing is accepted yet";
    const std::string expectedText =
      aProposal.expectedRevision ? "meant to replace revision " +
                                     std::to_string(*aProposal.expectedRevision)
                                 : "names no revision that it replaces";
    aReason = Reason(Step::kSettings,
                     aProposal.file,
                     "the change " + expectedText + "; " + newestText);
    return std::nullopt;
  }
  SettingsRecordBuilder builder;
  builder.Revision(newest + 1).Identity(aIdentity).When(aNow);
  builder.Who(aProposal.who).Note(aProposal.note);
  return builder.Build(aReason);
}

AcceptOutcome
ResolveAcceptOutcome(WriteOutcome aOutcome,
                     const std::string& aIdentity,
                     const std::optional<SettingsRecord>& aStored)
{
  switch (aOutcome) {
    case WriteOutcome::kCommitted:
      return AcceptOutcome::kAccepted;
    case WriteOutcome::kConflict:
      return AcceptOutcome::kConflict;
    case WriteOutcome::kNotWritten:
      return AcceptOutcome::kUnreachable;
    case WriteOutcome::kNotKnown:
      break;
  }
  if (!aStored) {
    return AcceptOutcome::kNotKnown;
  }
  return aStored->Identity() == aIdentity ? AcceptOutcome::kAccepted
                                          : AcceptOutcome::kConflict;
}

}
