#pragma once

#include "zones/member_place.h"

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Free accelerators for all members of a gang in one rack. */
class FreePlace
{
public:
  FreePlace(std::int64_t aLoss,
            std::int32_t aFreeAfter,
            std::int32_t aRack,
            std::vector<MemberPlace> aPlaces)
    : loss(aLoss)
    , freeAfter(aFreeAfter)
    , rack(aRack)
    , places(std::move(aPlaces))
  {
  }

  /** Decrease of the rack's RackValue(): capacity lost to large gangs. */
  std::int64_t Loss() const { return this->loss; }
  /** Accelerators that remain free in the rack. */
  std::int32_t FreeAfter() const { return this->freeAfter; }
  /** Index of the rack in the DataCentreLoad. */
  std::int32_t Rack() const { return this->rack; }
  const std::vector<MemberPlace>& Places() const { return this->places; }

  /** By loss, then by the accelerators that remain free. */
  auto operator<=>(const FreePlace&) const = default;

private:
  std::int64_t loss = 0;
  std::int32_t freeAfter = 0;
  std::int32_t rack = 0;
  std::vector<MemberPlace> places;
};

}
