#pragma once

#include <cstdint>

namespace sardinecourse {

/** What a claimed idempotency key stands for. */
enum class ClaimState : std::uint8_t
{
  /** Its request may be sent, or may have been, by the claim's owner. */
  kClaimed,
  /** Its request ran and the answer is known. */
  kDone,
  /** Its request may have run, and no answer is known. */
  kNotKnown
};

}
