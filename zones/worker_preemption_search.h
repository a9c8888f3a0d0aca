#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace sardinecourse {

class CandidateWorker;
class PlacementRequest;
struct PreemptibleRun;

/**
 * Positions of runs that have to be stopped so that the unit fits, found worker
 * by worker: each task goes where making room for it loses the least work, when
 * what is stopped for the tasks before it counts as lost already. Empty when
 * the unit would not fit. Like a greedy cover, it need not find the optimum.
 */
std::optional<std::vector<std::size_t>>
ChoosePreemptedByWorker(const std::vector<CandidateWorker>& aWorkers,
                        const std::vector<PreemptibleRun>& aRuns,
                        const PlacementRequest& aWish);

}
