#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace sardinecourse {

class CandidateWorker;
class PlacementRequest;
struct PreemptibleRun;

/** Copies of the workers with the resources of the chosen runs added to their
 * free resources. aChosen holds positions in aRuns. */
std::vector<CandidateWorker>
WithoutRuns(const std::vector<CandidateWorker>& aWorkers,
            const std::vector<PreemptibleRun>& aRuns,
            const std::vector<std::size_t>& aChosen);

/** Positions in aRuns of the runs to stop so that the request fits, chosen to
 * lose little work; nothing when it would not fit even with all of them
 * stopped. */
std::optional<std::vector<std::size_t>>
ChoosePreempted(const std::vector<CandidateWorker>& aWorkers,
                const std::vector<PreemptibleRun>& aRuns,
                const PlacementRequest& aRequest);

}
