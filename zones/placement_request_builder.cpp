#include "zones/placement_request_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

PlacementRequestBuilder&
PlacementRequestBuilder::Need(Resources aNeed)
{
  this->value.need = aNeed;
  return *this;
}

PlacementRequestBuilder&
PlacementRequestBuilder::Count(std::int32_t aCount)
{
  this->value.count = aCount;
  return *this;
}

PlacementRequestBuilder&
PlacementRequestBuilder::Rack(RackName aRack)
{
  this->value.rack = std::move(aRack);
  return *this;
}

PlacementRequestBuilder&
PlacementRequestBuilder::RequiresOneRack(bool aRequiresOneRack)
{
  this->value.requiresOneRack = aRequiresOneRack;
  return *this;
}

PlacementRequestBuilder&
PlacementRequestBuilder::Pace(PacePreference aPreference)
{
  this->value.pace = aPreference;
  return *this;
}

std::optional<PlacementRequest>
PlacementRequestBuilder::Build(Reason& aReason) const
{
  if (this->value.count < 1) {
    aReason = Reason(Step::kPlacement, "", "a unit has at least one task");
    return std::nullopt;
  }
  return this->value;
}

}
