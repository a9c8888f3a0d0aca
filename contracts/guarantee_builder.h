#pragma once

#include "contracts/guarantee.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Guarantee; Build() is empty, with the reason, when a field is
 * missing or out of range.
 */
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
