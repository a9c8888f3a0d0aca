#pragma once

#include "contracts/claim.h"
#include "contracts/claim_outcome.h"

#include <compare>

namespace sardinecourse {

/** Result of an attempt to claim an idempotency key. */
struct ClaimAnswer
{
  ClaimOutcome outcome = ClaimOutcome::kUnavailable;
  /** The existing claim, if there is one. */
  Claim found;

  auto operator<=>(const ClaimAnswer&) const = default;
};

}
