#pragma once

#include "contracts/shape.h"
#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Accelerators that a team can always reclaim in one data centre: a number of
 * gangs of one shape, all at the same time. */
class Guarantee
{
public:
  /** The guaranteed team. */
  const TeamName& Team() const { return this->team; }
  /** The data centre in which the guarantee applies. */
  const DataCentreName& DataCentre() const { return this->dataCentre; }
  /** The shape of each gang. */
  const Shape& GangShape() const { return this->gangShape; }
  /** Number of gangs of that shape that can run at the same time. */
  std::int32_t Count() const { return this->count; }

  auto operator<=>(const Guarantee&) const = default;

private:
  friend class GuaranteeBuilder;

  TeamName team;
  DataCentreName dataCentre;
  Shape gangShape;
  std::int32_t count = 1;
};

}
