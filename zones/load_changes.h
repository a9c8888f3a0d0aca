#pragma once

#include "contracts/minion_load.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/**
 * Which minions' requests in flight to tell next: those that differ most from
 * what was told before, at most aMost of them, in the order of their indexes.
 * The bound keeps the cost for control the same under any load.
 */
std::vector<MinionLoad>
ChangedLoads(const std::vector<std::int64_t>& aTold,
             const std::vector<std::int64_t>& aNow,
             std::size_t aMax);

}
