#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A service's weights, each from 0 to 100, for early starts and for keeping
 * adjacent accelerators free for large gangs. */
class PlacementWeights
{
public:
  /** Weight of an early completion. */
  std::int32_t Completion() const { return this->completion; }
  /** Weight of the free space that large gangs can still use. */
  std::int32_t Fragmentation() const { return this->fragmentation; }

  auto operator<=>(const PlacementWeights&) const = default;

private:
  friend class PlacementWeightsBuilder;

  std::int32_t completion = 50;
  std::int32_t fragmentation = 50;
};

}
