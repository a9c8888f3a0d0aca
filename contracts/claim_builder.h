#pragma once

#include "contracts/claim.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Claim. Build() returns nullopt and sets aReason if the owner or the
 * fingerprint is missing. */
class ClaimBuilder
{
public:
  ClaimBuilder& State(ClaimState aState);
  ClaimBuilder& Owner(std::string aOwner);
  ClaimBuilder& Fingerprint(std::string aFingerprint);
  /** Sets the answer. A body above 4096 bytes is not stored, and the status is
   * then 0. */
  ClaimBuilder& Answer(std::int32_t aStatus,
                       std::string aContentType,
                       std::string aBody);
  std::optional<Claim> Build(Reason& aReason) const;

private:
  Claim value;
};

}
