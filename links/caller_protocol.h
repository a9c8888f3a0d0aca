#pragma once

#include "core/instant.h"

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;
class Request;
struct HttpRequest;

/**
 * Decodes a caller's HTTP request for "/services/NAME/...". The team is in
 * "Sardinecourse-Team", the remaining time in milliseconds in
 * "Sardinecourse-Deadline-Ms" (30000 if absent, at most 60000), the key in
 * "Idempotency-Key". A method is idempotent as defined by RFC 9110
 * (section 9.2.2), unless "Sardinecourse-Idempotent: true" or "false" overrides
 * it. Empty, with the reason, if the method is not forwarded or a field is
 * invalid.
 */
std::optional<Request>
ReadCallerRequest(const HttpRequest& aMessage,
                  std::string aIdentity,
                  Instant aNow,
                  Reason& aReason);

/** Builds the message for a minion: the target is the path after
 * "/services/NAME", the request's identity is added, and the fields that
 * concern only the caller and this host are removed. Takes the body out of
 * aMessage. */
HttpRequest
ToMinionMessage(HttpRequest&& aMessage, const Request& aRequest);

}
