#include "contracts/guarantee_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

GuaranteeBuilder&
GuaranteeBuilder::Team(TeamName aTeam)
{
  this->value.team = std::move(aTeam);
  return *this;
}

GuaranteeBuilder&
GuaranteeBuilder::DataCentre(DataCentreName aDataCentre)
{
  this->value.dataCentre = std::move(aDataCentre);
  return *this;
}

GuaranteeBuilder&
GuaranteeBuilder::GangShape(Shape aGangShape)
{
  this->value.gangShape = aGangShape;
  return *this;
}

GuaranteeBuilder&
GuaranteeBuilder::Count(std::int32_t aCount)
{
  this->value.count = aCount;
  return *this;
}

std::optional<Guarantee>
GuaranteeBuilder::Build(Reason& aReason) const
{
  if (this->value.team.Empty()) {
    aReason = Reason(
      Step::kSettings, this->value.team.Text(), "a guarantee needs a team");
    return std::nullopt;
  }
  if (this->value.count < 1) {
    aReason = Reason(Step::kSettings,
                     this->value.team.Text(),
                     "a guarantee needs a count of at least 1");
    return std::nullopt;
  }
  return this->value;
}

}
