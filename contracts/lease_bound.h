#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>
#include <map>

namespace sardinecourse {

/** When every lease on a worker that its holder could not reach has expired. */
struct LeaseBound
{
  /** Time on the store's clock, in ms. */
  std::int64_t untilMs = 0;
  /** Term in which the bound was first stored. */
  std::int64_t term = 0;

  auto operator<=>(const LeaseBound&) const = default;
};

using LeaseBounds = std::map<WorkerName, LeaseBound>;

}
