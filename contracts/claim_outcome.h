#pragma once

#include <cstdint>

namespace sardinecourse {

/** Whether a request may use its idempotency key. */
enum class ClaimOutcome : std::uint8_t
{
  /** The request owns the key and may be sent. */
  kOwned,
  /** The key's request ran; its stored answer is returned. */
  kStored,
  /** The key's request ran, but its answer was too large to store. */
  kNotStored,
  /** The key was used by a request with different content. */
  kContentMismatch,
  /** The key's request is in progress, or may have run without an answer. */
  kNotKnown,
  /** The claim table is unreachable; the request must not be sent. */
  kUnavailable
};

}
