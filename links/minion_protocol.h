#pragma once

#include <string>
#include <string_view>

namespace sardinecourse {

class Minion;
struct HttpAnswer;
struct HttpRequest;

/** Header fields between the daemon and a minion, or the daemon and a caller.
 */
constexpr std::string_view kRequestIdentityField = "X-Request-Id";
constexpr std::string_view kMinionNameField = "Sardinecourse-Minion";
constexpr std::string_view kMinionLeavingField = "Sardinecourse-Leaving";
constexpr std::string_view kOutcomeField = "Sardinecourse-Outcome";
constexpr std::string_view kDeadlineField = "Sardinecourse-Deadline-Ms";

/** True if the minion reports that it did not run the request: status 421, or
 * 503 or 429 with the outcome "not-run". */
bool
IsRefusal(const HttpAnswer& aAnswer);

/** True if the minion reports that it is about to leave. */
bool
IndicatesLeaving(const HttpAnswer& aAnswer);

/** True if the answer contains the identity of another request, or the name of
 * another minion. */
bool
IsMismatched(const HttpAnswer& aAnswer,
             const Minion& aMinion,
             std::string_view aIdentity);

/** True if the answer contains the identity of a request. */
bool
HasRequestIdentity(const HttpAnswer& aAnswer);

/** Builds a health check, which verifies that a connection still reaches the
 * minion. */
HttpRequest
MakeProbe(const Minion& aMinion, std::string aIdentity);

}
