#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** How a service weighs an early start against adjacent accelerators kept
 * whole, on a scale of 0 to 100 each. */
class PlacementWeights
{
public:
  /** Weight of completion time. */
  std::int32_t Completion() const { return this->completion; }
  /** Weight of what large gangs can still use. */
  std::int32_t Fragmentation() const { return this->fragmentation; }

  auto operator<=>(const PlacementWeights&) const = default;

private:
  friend class PlacementWeightsBuilder;

  std::int32_t completion = 50;
  std::int32_t fragmentation = 50;
};

}
