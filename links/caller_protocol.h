#pragma once

#include "core/instant.h"

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;
class Request;
struct HttpRequest;

/**
 * Reads a caller's request for "/services/NAME/..." from its HTTP form. The
 * team is in "Sardinecourse-Team", the time left in
 * "Sardinecourse-Deadline-Ms", the key in "Idempotency-Key". A method is
 * idempotent as RFC 9110 (section 9.2.2) has it, unless
 * "Sardinecourse-Idempotent: true" or "false" says otherwise. Empty, with the
 * reason, when a field cannot be read.
 */
std::optional<Request>
ReadCallerRequest(const HttpRequest& aMessage,
                  std::string aIdentity,
                  Instant aNow,
                  Reason& aReason);

/** The message as it goes to a minion: the path after "/services/NAME", the
 * identity, and no field that is between the caller and this host. */
HttpRequest
ToMinionMessage(const HttpRequest& aMessage, const Request& aRequest);

}
