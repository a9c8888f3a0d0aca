#pragma once

#include "core/instant.h"

#include <compare>

namespace sardinecourse {

/** What may be lost in favour of a waiting unit. */
struct StopLimits
{
  /** Max work that may be lost, in core-seconds. */
  double maxLostWork = 0.0;
  /** Runs that end by themselves within this time are not stopped. */
  Milliseconds maxWait{ 0 };

  auto operator<=>(const StopLimits&) const = default;
};

}
