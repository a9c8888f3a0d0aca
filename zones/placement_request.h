#pragma once

#include "core/names.h"
#include "machines/resources.h"
#include "zones/pace/pace_preference.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** The resources and locality that a unit requires of its workers. */
class PlacementRequest
{
public:
  /** Resources that each task requires. */
  const Resources& Need() const { return this->need; }
  /** Number of tasks to place together; at least 1. */
  std::int32_t Count() const { return this->count; }
  /** The rack in which all tasks must be placed; empty for any. */
  const RackName& Rack() const { return this->rack; }
  /** Whether all tasks must share one rack. */
  bool RequiresOneRack() const { return this->requiresOneRack; }
  PacePreference Pace() const { return this->pace; }

  auto operator<=>(const PlacementRequest&) const = default;

private:
  friend class PlacementRequestBuilder;

  Resources need;
  std::int32_t count = 1;
  RackName rack;
  bool requiresOneRack = false;
  PacePreference pace = PacePreference::kNone;
};

}
