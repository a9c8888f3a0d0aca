#pragma once

#include "contracts/claim.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Claim; Build() is empty, with the reason, when a field is missing
 * or out of range. */
class ClaimBuilder
{
public:
  ClaimBuilder& State(ClaimState aState);
  ClaimBuilder& Owner(std::string aOwner);
  ClaimBuilder& Fingerprint(std::string aFingerprint);
  /** An answer too large to be stored is left out; its status stays. */
  ClaimBuilder& Answer(std::int32_t aStatus,
                       std::string aContentType,
                       std::string aBody);
  std::optional<Claim> Build(Reason& aReason) const;

private:
  Claim value;
};

}
