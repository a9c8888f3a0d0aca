#include "zones/claim_decision.h"

#include "contracts/claim.h"
#include "contracts/request.h"

namespace sardinecourse {

ClaimOutcome
DecideClaim(const Request& aRequest, const Claim& aClaim)
{
  if (aClaim.Fingerprint() != aRequest.Fingerprint()) {
    return ClaimOutcome::kContentMismatch;
  }
  switch (aClaim.State()) {
    case ClaimState::kClaimed:
      // A claim is never taken over: its owner may be paused, and may still
      // send the request when it resumes.
      return aClaim.Owner() == aRequest.Identity() ? ClaimOutcome::kOwned
                                                   : ClaimOutcome::kNotKnown;
    case ClaimState::kDone:
      return aClaim.Status() == 0 ? ClaimOutcome::kNotStored
                                  : ClaimOutcome::kStored;
    case ClaimState::kNotKnown:
      return ClaimOutcome::kNotKnown;
  }
  return ClaimOutcome::kNotKnown;
}

}
