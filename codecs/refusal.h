#pragma once

#include <string>

namespace sardinecourse {

class Reason;

/** Encodes the JSON body of a refusal: {"outcome", "step", "peer", "reason"}.
 */
std::string
EncodeRefusal(const std::string& aOutcome, const Reason& aReason);

}
