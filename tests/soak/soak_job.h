#pragma once

#include "core/instant.h"

#include <compare>
#include <string>

namespace sardinecourse::harness {

/** A job and its outcome by the answers that its caller received. */
struct SoakJob
{
  enum class Outcome
  {
    /** At least one call got no definite answer, so the job may or may not have
     * been accepted, or cancelled. */
    kUnknown,
    kAccepted,
    /** Every answer was that it has not run. */
    kRefused,
    /** Its cancellation was acknowledged. */
    kCancelled,
    /** It was accepted, and a cancellation got no definite answer. */
    kMaybeCancelled
  };

  std::string key;
  Outcome outcome = Outcome::kUnknown;
  /** When the outcome was recorded. */
  Instant settledAt{};

  auto operator<=>(const SoakJob&) const = default;
};

}
