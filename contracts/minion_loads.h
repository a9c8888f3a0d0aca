#pragma once

#include "contracts/minion_load.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/** Minions whose requests in flight changed since the last such message; the
 * others stand as told before. */
struct MinionLoads
{
  /** Revision of the settings that gives the indexes their meaning. */
  std::int64_t revision = 0;
  std::vector<MinionLoad> loads;

  auto operator<=>(const MinionLoads&) const = default;
};

}
