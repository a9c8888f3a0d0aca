#pragma once

#include "core/names.h"

#include <optional>
#include <vector>

namespace sardinecourse {

class CandidateWorker;
class PlacementRequest;

/**
 * A worker for each task of a unit, or nothing when they do not all fit. The
 * fullest workers that still have room are filled first, so that empty workers
 * and racks stay whole for the units that need them; workers in doubt come
 * last.
 */
std::optional<std::vector<WorkerName>>
FindPlaces(const std::vector<CandidateWorker>& aWorkers,
           const PlacementRequest& aWish);

/** Workers for as many of the tasks as fit, up to the number asked for. */
std::vector<WorkerName>
FindSomePlaces(const std::vector<CandidateWorker>& aWorkers,
               const PlacementRequest& aWish);

/** Whether the unit would fit if every worker were empty. */
bool
CouldFit(const std::vector<CandidateWorker>& aWorkers,
         const PlacementRequest& aWish);

}
