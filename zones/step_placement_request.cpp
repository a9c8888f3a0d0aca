#include "zones/step_placement_request.h"

#include "contracts/job_step.h"
#include "core/reason.h"
#include "zones/placement_request_builder.h"

namespace sardinecourse {

PlacementRequest
MakePlacementRequest(const JobStep& aStep, std::int32_t aCount, bool aIsNear)
{
  Reason ignored; // A unit has at least one task.
  return PlacementRequestBuilder()
    .Need(aStep.Need())
    .Count(aCount)
    .Rack(aIsNear ? aStep.DataRack() : RackName())
    .RequiresOneRack(aIsNear && aStep.PrefersOneRack())
    .Build(ignored)
    .value_or(PlacementRequest());
}

}
