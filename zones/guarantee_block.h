#pragma once

#include "contracts/shape.h"
#include "zones/member_place.h"

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Accelerators from which one guaranteed gang that is not running can be
 * reclaimed. Blocks of one packing are disjoint. */
class GuaranteeBlock
{
public:
  GuaranteeBlock(std::int32_t aTeam,
                 Shape aGangShape,
                 std::vector<MemberPlace> aPlaces)
    : team(aTeam)
    , gangShape(aGangShape)
    , places(std::move(aPlaces))
  {
  }

  /** Index of the team in the DataCentreLoad. */
  std::int32_t Team() const { return this->team; }
  Shape GangShape() const { return this->gangShape; }
  /** One place per member, all in one rack. */
  const std::vector<MemberPlace>& Places() const { return this->places; }

  auto operator<=>(const GuaranteeBlock&) const = default;

private:
  std::int32_t team = 0;
  Shape gangShape;
  std::vector<MemberPlace> places;
};

}
