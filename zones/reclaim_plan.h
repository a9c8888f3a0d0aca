#pragma once

#include "zones/member_place.h"

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace sardinecourse {

/** A place for a gang, and the borrowed gangs that have to stop for it. */
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

  /** Accelerator-milliseconds since the victims' checkpoints, with a charge for
   * each victim. */
  std::int64_t Cost() const { return this->cost; }
  const std::vector<MemberPlace>& Places() const { return this->places; }
  /** Gang indices in the load. */
  const std::vector<std::int32_t>& Victims() const { return this->victims; }

  /** By cost first. */
  auto operator<=>(const ReclaimPlan&) const = default;

private:
  std::int64_t cost = 0;
  std::vector<MemberPlace> places;
  std::vector<std::int32_t> victims;
};

}
