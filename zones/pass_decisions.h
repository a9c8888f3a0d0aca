#pragma once

#include "zones/placed_unit.h"
#include "zones/preempted_unit.h"
#include "zones/start_order.h"
#include "zones/stop_order.h"

#include <compare>
#include <vector>

namespace sardinecourse {

/** What one pass over a domain decided. */
struct PassDecisions
{
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PlacedUnit> placed;
  std::vector<PreemptedUnit> preempted;

  auto operator<=>(const PassDecisions&) const = default;
};

}
