#pragma once

#include "machines/resources.h"

#include <compare>

namespace sardinecourse {

/** What the reported runs of a worker use that no unit accounts for. */
struct StrayUsage
{
  /** Of runs whose job is tracked. */
  Resources known;
  /** Whether there are runs of other jobs, which may use anything. */
  bool hasUnknown = false;

  auto operator<=>(const StrayUsage&) const = default;
};

}
