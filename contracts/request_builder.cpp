#include "contracts/request_builder.h"

#include "core/reason.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace {

constexpr std::size_t kMaxKeyBytes = 128;

/** Teams and keys become part of a row's key, so only visible ASCII is allowed
 * and no separator '/'. */
bool
IsKeyCharacter(char aCharacter)
{
  return aCharacter > ' ' && aCharacter <= '~' && aCharacter != '/';
}

}

RequestBuilder&
RequestBuilder::Identity(std::string aIdentity)
{
  this->value.identity = std::move(aIdentity);
  return *this;
}

RequestBuilder&
RequestBuilder::Service(ServiceName aService)
{
  this->value.service = std::move(aService);
  return *this;
}

RequestBuilder&
RequestBuilder::Team(TeamName aTeam)
{
  this->value.team = std::move(aTeam);
  return *this;
}

RequestBuilder&
RequestBuilder::Idempotent(bool aIdempotent)
{
  this->value.idempotent = aIdempotent;
  return *this;
}

RequestBuilder&
RequestBuilder::Key(std::string aKey)
{
  this->value.key = std::move(aKey);
  return *this;
}

RequestBuilder&
RequestBuilder::Fingerprint(std::string aFingerprint)
{
  this->value.fingerprint = std::move(aFingerprint);
  return *this;
}

RequestBuilder&
RequestBuilder::Deadline(Instant aDeadline)
{
  this->value.deadline = aDeadline;
  return *this;
}

std::optional<Request>
RequestBuilder::Build(Reason& aReason) const
{
  if (this->value.service.Empty()) {
    aReason = Reason(Step::kDecode, "", "a request needs a service");
    return std::nullopt;
  }
  // The log's buffer keeps the names of thousands of requests.
  if (this->value.service.Text().size() > kMaxKeyBytes) {
    aReason = Reason(
      Step::kDecode, "", "a service's name is at most 128 characters long");
    return std::nullopt;
  }
  const std::string& team = this->value.team.Text();
  if (team.size() > kMaxKeyBytes ||
      !std::all_of(team.begin(), team.end(), IsKeyCharacter)) {
    aReason = Reason(Step::kDecode,
                     this->value.service.Text(),
                     "a team's name is at most 128 visible ASCII characters "
                     "without '/'");
    return std::nullopt;
  }
  const std::string& key = this->value.key;
  if (key.size() > kMaxKeyBytes ||
      !std::all_of(key.begin(), key.end(), IsKeyCharacter)) {
    aReason = Reason(Step::kDecode,
                     this->value.service.Text(),
                     "an idempotency key is at most 128 visible ASCII "
                     "characters without '/'");
    return std::nullopt;
  }
  return this->value;
}

}
