#include "contracts/claim_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

namespace {

constexpr std::size_t kMaxStoredBytes = 4096;

}

ClaimBuilder&
ClaimBuilder::State(ClaimState aState)
{
  this->value.state = aState;
  return *this;
}

ClaimBuilder&
ClaimBuilder::Owner(std::string aOwner)
{
  this->value.owner = std::move(aOwner);
  return *this;
}

ClaimBuilder&
ClaimBuilder::Fingerprint(std::string aFingerprint)
{
  this->value.fingerprint = std::move(aFingerprint);
  return *this;
}

ClaimBuilder&
ClaimBuilder::Answer(std::int32_t aStatus,
                     std::string aContentType,
                     std::string aBody)
{
  const bool isStored = aBody.size() <= kMaxStoredBytes;
  this->value.status = isStored ? aStatus : 0;
  this->value.contentType = std::move(aContentType);
  this->value.body = isStored ? std::move(aBody) : std::string();
  return *this;
}

std::optional<Claim>
ClaimBuilder::Build(Reason& aReason) const
{
  if (this->value.owner.empty() || this->value.fingerprint.empty()) {
    aReason =
      Reason(Step::kDecode, "", "a claim needs an owner and a fingerprint");
    return std::nullopt;
  }
  return this->value;
}

}
