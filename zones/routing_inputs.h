#pragma once

#include "core/instant.h"

#include <cstdint>

namespace sardinecourse {

class MinionState;

/** Inputs of a routing decision besides the minion table. */
struct RoutingInputs
{
  std::uint64_t random = 0;
  Instant now;
  Instant deadline = Instant::max();
  /** Minion of the previous attempt, used again only if no other has a free
   * slot. */
  const MinionState* avoided = nullptr;
};

}
