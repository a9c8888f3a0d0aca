#pragma once

#include "zones/gang_placement.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a GangPlacement; Build() is empty, with the reason, when a field is
 * missing or out of range. */
class GangPlacementBuilder
{
public:
  GangPlacementBuilder& Rack(RackName aRack);
  GangPlacementBuilder& Members(std::vector<AcceleratorRange> aMembers);
  std::optional<GangPlacement> Build(Reason& aReason) const;

private:
  GangPlacement value;
};

}
