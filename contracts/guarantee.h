#pragma once

#include "contracts/shape.h"
#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** What a team can always reclaim in one data centre: a number of gangs of one
 * shape, all at once.
 */
class Guarantee
{
public:
  /** The team that holds the guarantee. */
  const TeamName& Team() const { return this->team; }
  /** Where the shape is guaranteed. */
  const DataCentreName& DataCentre() const { return this->dataCentre; }
  /** The shape of each gang. */
  const Shape& GangShape() const { return this->gangShape; }
  /** Gangs of that shape, at the same time. */
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
