#pragma once

#include "core/names.h"
#include "machines/accelerator_range.h"

#include <compare>
#include <vector>

namespace sardinecourse {

/** The accelerators of each member of a gang, all in one rack. */
class GangPlacement
{
public:
  const RackName& Rack() const { return this->rack; }
  /** One range per member, by member index. */
  const std::vector<AcceleratorRange>& Members() const { return this->members; }

  auto operator<=>(const GangPlacement&) const = default;

private:
  friend class GangPlacementBuilder;

  RackName rack;
  std::vector<AcceleratorRange> members;
};

}
