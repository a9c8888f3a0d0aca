#pragma once

#include "contracts/shape.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** One gang of a guarantee; a guarantee of count 3 has three units. */
class GuaranteeUnit
{
public:
  GuaranteeUnit(std::int32_t aTeam, Shape aGangShape)
    : team(aTeam)
    , gangShape(aGangShape)
  {
  }

  /** Index of the team in the list of teams. */
  std::int32_t Team() const { return this->team; }
  Shape GangShape() const { return this->gangShape; }

  auto operator<=>(const GuaranteeUnit&) const = default;

private:
  std::int32_t team = 0;
  Shape gangShape;
};

}
