#pragma once

#include "contracts/placement_weights.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a PlacementWeights; Build() is empty, with the reason, when a field
 * is missing or out of range. */
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
