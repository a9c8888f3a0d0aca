#pragma once

#include "contracts/team.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Team; Build() is empty, with the reason, when a field is missing or
 * out of range. */
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
