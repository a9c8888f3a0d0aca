#pragma once

#include "core/names.h"

#include <compare>
#include <cstddef>

namespace sardinecourse {

/** Refers to one unit of a job by its position in TrackedJob::Units(). */
struct UnitRef
{
  JobKey job;
  std::size_t unit = 0;

  auto operator<=>(const UnitRef&) const = default;
};

}
