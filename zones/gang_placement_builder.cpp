#include "zones/gang_placement_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

GangPlacementBuilder&
GangPlacementBuilder::Rack(RackName aRack)
{
  this->value.rack = std::move(aRack);
  return *this;
}

GangPlacementBuilder&
GangPlacementBuilder::Members(std::vector<AcceleratorRange> aMembers)
{
  this->value.members = std::move(aMembers);
  return *this;
}

std::optional<GangPlacement>
GangPlacementBuilder::Build(Reason& aReason) const
{
  if (this->value.members.empty()) {
    aReason = Reason(Step::kPlacement,
                     this->value.rack.Text(),
                     "a placement needs at least one member");
    return std::nullopt;
  }
  return this->value;
}

}
