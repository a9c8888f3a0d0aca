#include "zones/step_placement_request.h"

#include "contracts/job_step.h"
#include "core/reason.h"
#include "zones/placement_request_builder.h"

namespace sardinecourse {

PlacementRequest
MakePlacementRequest(const JobStep& aStep,
                     std::int32_t aCount,
                     bool aIsLocal,
                     PacePreference aPace)
{
  Reason ignored; // A unit has at least one task.
  return PlacementRequestBuilder()
    .Need(aStep.Need())
    .Count(aCount)
    .Rack(aIsLocal ? aStep.DataRack() : RackName())
    .RequiresOneRack(aIsLocal && aStep.PrefersOneRack())
    .Pace(aPace)
    .Build(ignored)
    .value_or(PlacementRequest());
}

}
