#pragma once

#include "contracts/guarantee.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Guarantee. Build() returns nullopt and sets aReason if the team is
 * missing or the count is below 1. */
class GuaranteeBuilder
{
public:
  GuaranteeBuilder& Team(TeamName aTeam);
  GuaranteeBuilder& DataCentre(DataCentreName aDataCentre);
  GuaranteeBuilder& GangShape(Shape aGangShape);
  GuaranteeBuilder& Count(std::int32_t aCount);
  std::optional<Guarantee> Build(Reason& aReason) const;

private:
  Guarantee value;
};

}
