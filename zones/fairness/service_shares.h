#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>
#include <map>
#include <utility>

namespace sardinecourse {

class ServiceHistory;

/** Share of its due work that each team, and the callers of each data centre,
 * got done in time: 1 when all of it was, or when nothing was due. A team that
 * asks for more than an equal part of what was done is measured by that part,
 * so that asking for more gains nothing. */
class ServiceShares
{
public:
  explicit ServiceShares(const ServiceHistory& aHistory);

  double TeamShare(std::int32_t aPriority, const TeamName& aTeam) const;
  double DataCentreShare(std::int32_t aPriority,
                         const DataCentreName& aDataCentre) const;

  auto operator<=>(const ServiceShares&) const = default;

private:
  std::map<std::pair<std::int32_t, TeamName>, double> teams;
  std::map<std::pair<std::int32_t, DataCentreName>, double> dataCentres;
};

}
