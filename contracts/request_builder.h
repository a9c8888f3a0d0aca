#pragma once

#include "contracts/request.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Request; Build() is empty, with the reason, when a field is missing
 * or out of range. */
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
