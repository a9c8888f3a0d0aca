#pragma once

#include <optional>
#include <string>

namespace sardinecourse {

class Claim;
class Reason;
class Request;

/** Key of the row that claims a request's idempotency key: a key belongs to its
 * team. */
std::string
ClaimRowKey(const Request& aRequest);

/** A claim as the text of its row: JSON, the answer's body in hexadecimal. */
std::string
EncodeClaim(const Claim& aClaim);

/** Empty, with the reason, when the text is no claim. */
std::optional<Claim>
DecodeClaim(const std::string& aText, Reason& aReason);

}
