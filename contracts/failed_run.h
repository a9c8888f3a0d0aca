#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A failed run of a unit; it counts as an attempt. */
struct FailedRun
{
  /** Index of the unit within its job. */
  std::int32_t unit = 0;
  std::int64_t run = 0;

  auto operator<=>(const FailedRun&) const = default;
};

}
