#pragma once

#include "zones/gang_placement.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a GangPlacement; Build() returns empty and sets aReason when there
 * are no members. */
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
