#pragma once

#include "contracts/team_access.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a TeamAccess. Build() returns nullopt and sets aReason if the team's
 * name is missing. */
class TeamAccessBuilder
{
public:
  TeamAccessBuilder& Team(TeamName aTeam);
  TeamAccessBuilder& Keys(std::vector<std::string> aKeys);
  TeamAccessBuilder& Guaranteed(std::int64_t aGuaranteed);
  std::optional<TeamAccess> Build(Reason& aReason) const;

private:
  TeamAccess value;
};

}
