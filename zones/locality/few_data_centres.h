#pragma once

#include "core/names.h"

#include <vector>

namespace sardinecourse {

class CandidateWorker;
class DomainState;
class PlacementRequest;

/** Workers for all tasks of a gang in as few data centres as possible: a gang
 * ends when any data centre with a member is cut off. Returns aPlaces, which
 * are workers for the gang anywhere, if only worse workers are left for that.
 */
std::vector<WorkerName>
FindPlacesInFewDataCentres(const DomainState& aDomain,
                           const std::vector<CandidateWorker>& aWorkers,
                           const PlacementRequest& aRequest,
                           const std::vector<WorkerName>& aPlaces);

}
