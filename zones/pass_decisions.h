#pragma once

#include "zones/given_up_runs.h"
#include "zones/neighbours/kind_pair.h"
#include "zones/pace/pace_change.h"
#include "zones/placed_unit.h"
#include "zones/preempted_unit.h"
#include "zones/start_order.h"
#include "zones/stop_order.h"

#include <compare>
#include <vector>

namespace sardinecourse {

/** The decisions of one scheduling pass over a domain. */
struct PassDecisions
{
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PlacedUnit> placed;
  std::vector<PreemptedUnit> preempted;
  std::vector<GivenUpRuns> givenUp;
  std::vector<PaceChange> paceChanges;
  std::vector<KindPair> disturbances;

  auto operator<=>(const PassDecisions&) const = default;
};

}
