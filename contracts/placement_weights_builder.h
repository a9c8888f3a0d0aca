#pragma once

#include "contracts/placement_weights.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a PlacementWeights. Build() returns nullopt and sets aReason if a
 * weight is not from 0 to 100. */
class PlacementWeightsBuilder
{
public:
  PlacementWeightsBuilder& Completion(std::int32_t aCompletion);
  PlacementWeightsBuilder& Fragmentation(std::int32_t aFragmentation);
  std::optional<PlacementWeights> Build(Reason& aReason) const;

private:
  PlacementWeights value;
};

}
