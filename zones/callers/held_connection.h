#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A connection of a caller and what it makes its host hold. */
struct HeldConnection
{
  enum class Phase : std::uint8_t
  {
    /** No byte of the next request has arrived. */
    kIdle,
    /** A part of a request has arrived. */
    kReceiving,
    /** A whole request is being handled; it must be answered. */
    kHandling,
    /** An answer waits for the caller to read it. */
    kAnswering
  };

  Phase phase = Phase::kIdle;
  std::int64_t bytes = 0;
  /** When the phase began. */
  Instant since{};
  /** True once a request on it was answered with success. */
  bool isServed = false;

  auto operator<=>(const HeldConnection&) const = default;
};

}
