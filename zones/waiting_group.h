#pragma once

#include "core/wall_time.h"
#include "zones/unit_ref.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/** Units of one step that wait for placement: a gang, or independent tasks.
 * Groups are served in ascending order: by priority, then by admission time. */
struct WaitingGroup
{
  std::int32_t priority = 0;
  WallTime admitted{};
  std::vector<UnitRef> units;

  auto operator<=>(const WaitingGroup&) const = default;
};

}
