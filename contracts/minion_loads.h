#pragma once

#include "contracts/minion_load.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/** Requests that the sender has in flight at its data centre's minions. */
struct MinionLoads
{
  /** Settings revision that the minion indexes refer to. */
  std::int64_t revision = 0;
  /** True if all loads are listed and a missing minion has no requests in
   * flight. False if only changes are listed and a missing minion keeps its
   * last reported load. */
  bool isFull = false;
  std::vector<MinionLoad> loads;

  auto operator<=>(const MinionLoads&) const = default;
};

}
