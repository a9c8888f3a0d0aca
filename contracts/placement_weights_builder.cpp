#include "contracts/placement_weights_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

PlacementWeightsBuilder&
PlacementWeightsBuilder::Completion(std::int32_t aCompletion)
{
  this->value.completion = aCompletion;
  return *this;
}

PlacementWeightsBuilder&
PlacementWeightsBuilder::Fragmentation(std::int32_t aFragmentation)
{
  this->value.fragmentation = aFragmentation;
  return *this;
}

std::optional<PlacementWeights>
PlacementWeightsBuilder::Build(Reason& aReason) const
{
  if (this->value.completion < 0 || this->value.completion > 100) {
    aReason = Reason(
      Step::kSettings, "", "the completion weight must be from 0 to 100");
    return std::nullopt;
  }
  if (this->value.fragmentation < 0 || this->value.fragmentation > 100) {
    aReason = Reason(
      Step::kSettings, "", "the fragmentation weight must be from 0 to 100");
    return std::nullopt;
  }
  return this->value;
}

}
