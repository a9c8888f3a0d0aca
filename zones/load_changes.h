#pragma once

#include "contracts/minion_load.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/**
 * Selects the loads to send next: the minions whose requests in flight differ
 * most from the count sent before, at most aMax of them, in order of index. The
 * bound keeps the cost of control traffic the same under any load.
 */
std::vector<MinionLoad>
ChangedLoads(const std::vector<std::int64_t>& aSent,
             const std::vector<std::int64_t>& aNow,
             std::size_t aMax);

}
