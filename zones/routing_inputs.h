#pragma once

#include "core/instant.h"

#include <cstdint>

namespace sardinecourse {

class MinionState;

/** What a routing decision depends on besides the table. */
struct RoutingInputs
{
  std::uint64_t random = 0;
  Instant now;
  Instant deadline = Instant::max();
  /** The minion of the attempt before, taken again only if no other is free. */
  const MinionState* avoided = nullptr;
};

}
