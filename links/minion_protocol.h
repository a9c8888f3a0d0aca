#pragma once

#include <string>
#include <string_view>

namespace sardinecourse {

class Minion;
struct HttpAnswer;
struct HttpRequest;

/** The header fields by which a daemon and a minion understand each other. */
constexpr std::string_view kRequestIdentityField = "X-Request-Id";
constexpr std::string_view kMinionNameField = "Sardinecourse-Minion";
constexpr std::string_view kMinionLeavingField = "Sardinecourse-Leaving";
constexpr std::string_view kOutcomeField = "Sardinecourse-Outcome";
constexpr std::string_view kDeadlineField = "Sardinecourse-Deadline-Ms";

/** True if the minion says that it did not run the request: 421, or 503 or 429
 * with the outcome "not-run". */
bool
IsRefusal(const HttpAnswer& aAnswer);

/** True if the minion says that it is about to leave. */
bool
SaysLeaving(const HttpAnswer& aAnswer);

/** True if the answer names another request or another minion than asked. */
bool
IsForeign(const HttpAnswer& aAnswer,
          const Minion& aMinion,
          std::string_view aIdentity);

/** True if the answer names the request that it answers. */
bool
NamesRequest(const HttpAnswer& aAnswer);

/** The request that shows whether a connection still reaches the minion. */
HttpRequest
MakeProbe(const Minion& aMinion, std::string aIdentity);

}
