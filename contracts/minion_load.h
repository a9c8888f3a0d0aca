#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Number of requests that the sender has in flight at one minion. */
struct MinionLoad
{
  /** Index of the minion within the data centre, in the order of the
   * settings. */
  std::int64_t index = 0;
  std::int64_t inFlight = 0;

  auto operator<=>(const MinionLoad&) const = default;
};

}
