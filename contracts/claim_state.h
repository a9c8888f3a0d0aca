#pragma once

#include <cstdint>

namespace sardinecourse {

/** State of a claimed idempotency key. */
enum class ClaimState : std::uint8_t
{
  /** The owner may send the request, or may have sent it already. */
  kClaimed,
  /** The request ran and its outcome is recorded. */
  kDone,
  /** The request may have run; its answer is unknown. */
  kNotKnown
};

}
