#pragma once

#include <optional>
#include <string>

namespace sardinecourse {

class Claim;
class Reason;
class Request;

/** Key of the row that claims a request's idempotency key. It contains the
 * team, since teams choose their keys independently. */
std::string
ClaimRowKey(const Request& aRequest);

/** Encodes a claim as the JSON text of its row, with the answer's body in
 * hexadecimal. */
std::string
EncodeClaim(const Claim& aClaim);

/** Empty, with the reason, when the text is not a valid claim. */
std::optional<Claim>
DecodeClaim(const std::string& aText, Reason& aReason);

}
