#pragma once

#include "contracts/claim_outcome.h"

namespace sardinecourse {

class Claim;
class Request;

/** What a request may do whose key is claimed by aClaim. */
ClaimOutcome
DecideClaim(const Request& aRequest, const Claim& aClaim);

}
