#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace sardinecourse {

class CandidateWorker;
class PlacementRequest;
struct PreemptibleRun;

/** Positions in aRuns of the runs to stop so that the request fits, chosen
 * worker by worker: each task is placed where freeing resources for it loses
 * the least work, given the runs already chosen for earlier tasks. Empty when
 * the search finds no fit. A greedy search: the result may lose more work than
 * the optimum. */
std::optional<std::vector<std::size_t>>
ChoosePreemptedByWorker(const std::vector<CandidateWorker>& aWorkers,
                        const std::vector<PreemptibleRun>& aRuns,
                        const PlacementRequest& aRequest);

}
