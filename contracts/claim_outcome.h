#pragma once

#include <cstdint>

namespace sardinecourse {

/** What a request that uses an idempotency key may do. */
enum class ClaimOutcome : std::uint8_t
{
  /** It owns the key and may be sent. */
  kMine,
  /** The key's request ran: its stored answer is the answer. */
  kStored,
  /** The key's request ran, but its answer was too large to be stored. */
  kNotStored,
  /** The key belongs to a request with other content. */
  kOtherContent,
  /** The key's request is under way, or may have run without an answer. */
  kNotKnown,
  /** The table cannot be asked; the request must not be sent. */
  kUnavailable
};

}
