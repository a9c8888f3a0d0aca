#pragma once

#include "contracts/request.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Request. Build() returns nullopt and sets aReason if the service is
 * missing, or the team's name or the key is too long or has a forbidden
 * character. */
class RequestBuilder
{
public:
  RequestBuilder& Identity(std::string aIdentity);
  RequestBuilder& Service(ServiceName aService);
  RequestBuilder& Team(TeamName aTeam);
  RequestBuilder& Idempotent(bool aIdempotent);
  RequestBuilder& Key(std::string aKey);
  RequestBuilder& Fingerprint(std::string aFingerprint);
  RequestBuilder& Deadline(Instant aDeadline);
  std::optional<Request> Build(Reason& aReason) const;

private:
  Request value;
};

}
