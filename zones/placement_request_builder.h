#pragma once

#include "zones/placement_request.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a PlacementRequest; Build() returns nothing and sets the reason when
 * the count is less than 1. */
class PlacementRequestBuilder
{
public:
  PlacementRequestBuilder& Need(Resources aNeed);
  PlacementRequestBuilder& Count(std::int32_t aCount);
  PlacementRequestBuilder& Rack(RackName aRack);
  PlacementRequestBuilder& RequiresOneRack(bool aRequiresOneRack);
  PlacementRequestBuilder& Pace(PacePreference aPreference);
  std::optional<PlacementRequest> Build(Reason& aReason) const;

private:
  PlacementRequest value;
};

}
