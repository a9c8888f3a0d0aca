#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Refers to one unit of a job by its number; see TrackedJob. */
struct UnitRef
{
  JobKey job;
  std::int32_t unit = 0;

  auto operator<=>(const UnitRef&) const = default;
};

}
