#pragma once

#include "zones/member_place.h"

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Places for a gang, and the borrowed gangs that must stop first. */
class ReclaimPlan
{
public:
  ReclaimPlan(std::vector<MemberPlace> aPlaces,
              std::vector<std::int32_t> aVictims,
              std::int64_t aCost)
    : cost(aCost)
    , places(std::move(aPlaces))
    , victims(std::move(aVictims))
  {
  }

  /** Accelerator-milliseconds of work since the victims' last checkpoints, plus
   * a fixed charge per victim; urgent victims count a hundredfold. */
  std::int64_t Cost() const { return this->cost; }
  const std::vector<MemberPlace>& Places() const { return this->places; }
  /** Indices of the gangs in the DataCentreLoad. */
  const std::vector<std::int32_t>& Victims() const { return this->victims; }

  /** By cost, then by places and victims. */
  auto operator<=>(const ReclaimPlan&) const = default;

private:
  std::int64_t cost = 0;
  std::vector<MemberPlace> places;
  std::vector<std::int32_t> victims;
};

}
