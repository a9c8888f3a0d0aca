#pragma once

#include "contracts/claim_state.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** The stored row that allows an idempotency key to be used only once. */
class Claim
{
public:
  ClaimState State() const { return this->state; }
  /** Identity of the request that claimed the key. */
  const std::string& Owner() const { return this->owner; }
  /** Hash of the method, target and body of that request. */
  const std::string& Fingerprint() const { return this->fingerprint; }
  /** HTTP status of the stored answer; 0 if no answer was stored. */
  std::int32_t Status() const { return this->status; }
  const std::string& ContentType() const { return this->contentType; }
  const std::string& Body() const { return this->body; }

  auto operator<=>(const Claim&) const = default;

private:
  friend class ClaimBuilder;

  ClaimState state = ClaimState::kClaimed;
  std::string owner;
  std::string fingerprint;
  std::int32_t status = 0;
  std::string contentType;
  std::string body;
};

}
