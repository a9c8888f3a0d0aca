#pragma once

#include "contracts/claim_outcome.h"

namespace sardinecourse {

class Claim;
class Request;

/** Decides what a request may do when aClaim already exists for its idempotency
 * key. */
ClaimOutcome
DecideClaim(const Request& aRequest, const Claim& aClaim);

}
