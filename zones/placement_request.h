#pragma once

#include "core/names.h"
#include "machines/resources.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** What a unit asks of placement. */
class PlacementRequest
{
public:
  /** Of each task. */
  const Resources& Need() const { return this->need; }
  /** Tasks to be placed together. */
  std::int32_t Count() const { return this->count; }
  /** The rack that it must be; empty for any. */
  const RackName& Rack() const { return this->rack; }
  /** All tasks must be in one rack. */
  bool RequiresOneRack() const { return this->requiresOneRack; }

  auto operator<=>(const PlacementRequest&) const = default;

private:
  friend class PlacementRequestBuilder;

  Resources need;
  std::int32_t count = 1;
  RackName rack;
  bool requiresOneRack = false;
};

}
