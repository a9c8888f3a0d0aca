#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace sardinecourse {

class CandidateWorker;
class PlacementRequest;
struct PreemptibleRun;

/** The workers as they would be without the chosen runs. */
std::vector<CandidateWorker>
WithoutRuns(const std::vector<CandidateWorker>& aWorkers,
            const std::vector<PreemptibleRun>& aRuns,
            const std::vector<std::size_t>& aChosen);

/** Positions of runs that have to be stopped so that the unit fits, with little
 * work thrown away; nothing when stopping all of them would not do. */
std::optional<std::vector<std::size_t>>
ChoosePreempted(const std::vector<CandidateWorker>& aWorkers,
                const std::vector<PreemptibleRun>& aRuns,
                const PlacementRequest& aWish);

}
