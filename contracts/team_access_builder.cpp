#include "contracts/team_access_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

TeamAccessBuilder&
TeamAccessBuilder::Team(TeamName aTeam)
{
  this->value.team = std::move(aTeam);
  return *this;
}

TeamAccessBuilder&
TeamAccessBuilder::Keys(std::vector<std::string> aKeys)
{
  this->value.keys = std::move(aKeys);
  return *this;
}

TeamAccessBuilder&
TeamAccessBuilder::Guaranteed(std::int64_t aGuaranteed)
{
  this->value.guaranteed = aGuaranteed;
  return *this;
}

std::optional<TeamAccess>
TeamAccessBuilder::Build(Reason& aReason) const
{
  if (this->value.team.Empty()) {
    aReason = Reason(Step::kDecode, "", "a team needs a name");
    return std::nullopt;
  }
  return this->value;
}

}
