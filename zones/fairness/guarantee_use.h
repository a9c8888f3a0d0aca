#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>
#include <map>

namespace sardinecourse {

class DomainState;

/** Accelerators that the open jobs of priority 0 of each team need, against
 * what the team is guaranteed. */
class GuaranteeUse
{
public:
  explicit GuaranteeUse(const DomainState& aDomain);

  /** Whether all open jobs of priority 0 of the team fit into its guarantee. */
  bool IsWithinGuarantee(const TeamName& aTeam) const;

  auto operator<=>(const GuaranteeUse&) const = default;

private:
  /** Needed accelerators beyond the guarantee, by team with such jobs. */
  std::map<TeamName, std::int64_t> excess;
};

}
