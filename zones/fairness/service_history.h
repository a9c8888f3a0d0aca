#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "zones/fairness/service_record.h"

#include <compare>
#include <cstdint>
#include <map>
#include <utility>

namespace sardinecourse {

/** How the callers of each team and of each data centre were served lately, by
 * priority. Old work counts less and less. A copy may be extended by the jobs
 * that are late at present. */
class ServiceHistory
{
public:
  using TeamRecords =
    std::map<std::pair<std::int32_t, TeamName>, ServiceRecord>;
  using DataCentreRecords =
    std::map<std::pair<std::int32_t, DataCentreName>, ServiceRecord>;

  /** Adds aWork core-seconds that are due by aNow. No data centre is recorded
   * under an empty name. */
  void Add(std::int32_t aPriority,
           const TeamName& aTeam,
           const DataCentreName& aDataCentre,
           double aWork,
           bool aIsInTime,
           Instant aNow);
  const TeamRecords& Teams() const { return this->teams; }
  const DataCentreRecords& DataCentres() const { return this->dataCentres; }

  auto operator<=>(const ServiceHistory&) const = default;

private:
  void Decay(Instant aNow);

  TeamRecords teams;
  DataCentreRecords dataCentres;
  Instant decayedAt{};
};

}
