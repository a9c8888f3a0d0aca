#pragma once

#include "zones/placement_request.h"

#include <cstdint>

namespace sardinecourse {

class JobStep;

/** What so many tasks of the step ask of their places; near ones are in the
 * rack of the data, or in one rack where the step prefers that. */
PlacementRequest
MakePlacementRequest(const JobStep& aStep, std::int32_t aCount, bool aIsNear);

}
