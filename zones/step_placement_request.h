#pragma once

#include "zones/pace/pace_preference.h"
#include "zones/placement_request.h"

#include <cstdint>

namespace sardinecourse {

class JobStep;

/** The request to place aCount tasks of a step. A local request is limited to
 * the rack of the step's data, and to a single rack when the step prefers one.
 */
PlacementRequest
MakePlacementRequest(const JobStep& aStep,
                     std::int32_t aCount,
                     bool aIsLocal,
                     PacePreference aPace = PacePreference::kNone);

}
