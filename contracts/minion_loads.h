#pragma once

#include "contracts/minion_load.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/** Requests that the sender has in flight at its data centre's minions. */
struct MinionLoads
{
  /** Revision of the settings that gives the indexes their meaning. */
  std::int64_t revision = 0;
  /** Minions that are not listed have none in flight; otherwise they stand as
   * told before. */
  bool isWhole = false;
  std::vector<MinionLoad> loads;

  auto operator<=>(const MinionLoads&) const = default;
};

}
