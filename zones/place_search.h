#pragma once

#include "core/names.h"

#include <optional>
#include <vector>

namespace sardinecourse {

class CandidateWorker;
class PlacementRequest;

/** A worker for each task of a unit, or nothing when they do not all fit. The
 * fullest workers with enough free resources are filled first, so that empty
 * workers and racks remain for the units that need them; workers with a higher
 * penalty come last. With a preference by pace, a gang gets workers of like
 * pace, and single tasks fill the preferred workers first. */
std::optional<std::vector<WorkerName>>
FindPlaces(const std::vector<CandidateWorker>& aWorkers,
           const PlacementRequest& aRequest);

/** Workers for as many of the requested tasks as fit; one entry for each task.
 */
std::vector<WorkerName>
FindSomePlaces(const std::vector<CandidateWorker>& aWorkers,
               const PlacementRequest& aRequest);

/** Whether the request would fit if every worker were empty. */
bool
CouldFit(const std::vector<CandidateWorker>& aWorkers,
         const PlacementRequest& aRequest);

}
