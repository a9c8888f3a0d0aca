#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

namespace sardinecourse {

class CandidateWorker;
class PlacementRequest;
struct PreemptibleRun;
struct StopLimits;

/** How room is made for a waiting unit: which runs are stopped, and where its
 * tasks fit once they and the runs that end by themselves are gone. */
struct StopChoice
{
  /** Positions of the runs to stop. */
  std::vector<std::size_t> stopped;
  /** Work lost by it, in core-seconds. */
  double lostWork = 0.0;
  /** Time until the last awaited run is expected to end; zero without one. */
  Milliseconds wait{ 0 };
  /** A worker for each task of the unit. */
  std::vector<WorkerName> places;

  auto operator<=>(const StopChoice&) const = default;
};

/** The choice that loses the least work; empty when the unit would not fit with
 * all runs gone, or when every choice exceeds the limits. */
std::optional<StopChoice>
ChooseStops(const std::vector<CandidateWorker>& aWorkers,
            const std::vector<PreemptibleRun>& aRuns,
            const PlacementRequest& aRequest,
            const StopLimits& aLimits);

}
