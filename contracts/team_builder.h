#pragma once

#include "contracts/team.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Team. Build() returns nullopt and sets aReason if the name is
 * missing or the quota is negative. */
class TeamBuilder
{
public:
  TeamBuilder& Name(TeamName aName);
  TeamBuilder& Quota(std::int32_t aQuota);
  TeamBuilder& Guarantees(std::vector<Guarantee> aGuarantees);
  std::optional<Team> Build(Reason& aReason) const;

private:
  Team value;
};

}
