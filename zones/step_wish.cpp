#include "zones/step_wish.h"

#include "contracts/job_step.h"
#include "core/reason.h"
#include "zones/place_wish_builder.h"

namespace sardinecourse {

PlaceWish
WishFor(const JobStep& aStep, std::int32_t aCount, bool aIsNear)
{
  Reason ignored; // A unit has at least one task.
  return PlaceWishBuilder()
    .Need(aStep.Need())
    .Count(aCount)
    .Rack(aIsNear ? aStep.DataRack() : RackName())
    .IsOneRack(aIsNear && aStep.PrefersOneRack())
    .Build(ignored)
    .value_or(PlaceWish());
}

}
