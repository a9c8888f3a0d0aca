#include "zones/stops/stop_choice.h"

#include "zones/candidate_worker.h"
#include "zones/place_search.h"
#include "zones/placement_request.h"
#include "zones/preemptible_run.h"
#include "zones/preemption_search.h"
#include "zones/stops/stop_limits.h"

#include <algorithm>

namespace sardinecourse {

std::optional<StopChoice>
ChooseStops(const std::vector<CandidateWorker>& aWorkers,
            const std::vector<PreemptibleRun>& aRuns,
            const PlacementRequest& aRequest,
            const StopLimits& aLimits)
{
  // Runs that cannot be stopped are left out, unless they end in time.
  std::vector<PreemptibleRun> runs;
  std::vector<std::size_t> positions;
  for (std::size_t position = 0; position < aRuns.size(); ++position) {
    const bool endsInTime = aRuns[position].timeLeft <= aLimits.maxWait;
    if (!endsInTime && !aRuns[position].isStoppable) {
      continue;
    }
    positions.push_back(position);
    runs.push_back(aRuns[position]);
    runs.back().lostWork = endsInTime ? 0.0 : runs.back().lostWork;
  }
  const auto chosen = ChoosePreempted(aWorkers, runs, aRequest);
  if (!chosen) {
    return std::nullopt;
  }
  StopChoice choice;
  for (const std::size_t run : *chosen) {
    const PreemptibleRun& original = aRuns[positions[run]];
    if (original.timeLeft <= aLimits.maxWait) {
      choice.wait = std::max(choice.wait, original.timeLeft);
    } else {
      choice.stopped.push_back(positions[run]);
      choice.lostWork += original.lostWork;
    }
  }
  if (choice.lostWork > aLimits.maxLostWork) {
    return std::nullopt;
  }
  choice.places = FindPlaces(WithoutRuns(aWorkers, runs, *chosen), aRequest)
                    .value_or(std::vector<WorkerName>());
  return choice;
}

}
