#pragma once

#include "contracts/claim.h"
#include "contracts/claim_outcome.h"

#include <compare>

namespace sardinecourse {

/** The outcome of an attempt to claim a key. */
struct ClaimAnswer
{
  ClaimOutcome outcome = ClaimOutcome::kUnavailable;
  /** The claim that was found, when there is one. */
  Claim found;

  auto operator<=>(const ClaimAnswer&) const = default;
};

}
