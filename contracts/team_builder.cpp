#include "contracts/team_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

TeamBuilder&
TeamBuilder::Name(TeamName aName)
{
  this->value.name = std::move(aName);
  return *this;
}

TeamBuilder&
TeamBuilder::Quota(std::int32_t aQuota)
{
  this->value.quota = aQuota;
  return *this;
}

TeamBuilder&
TeamBuilder::Guarantees(std::vector<Guarantee> aGuarantees)
{
  this->value.guarantees = std::move(aGuarantees);
  return *this;
}

std::optional<Team>
TeamBuilder::Build(Reason& aReason) const
{
  if (this->value.name.Empty()) {
    aReason =
      Reason(Step::kSettings, this->value.name.Text(), "a team needs a name");
    return std::nullopt;
  }
  if (this->value.quota < 0) {
    aReason = Reason(
      Step::kSettings, this->value.name.Text(), "a quota must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
