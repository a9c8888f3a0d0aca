#pragma once

#include "core/instant.h"
#include "zones/unit_ref.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A decision to start a unit, with its inputs, as recorded in the event log.
 */
struct PlacedUnit
{
  UnitRef unit;
  std::int64_t run = 0;
  std::int32_t members = 0;
  /** Number of racks that its members are placed in. */
  std::int32_t racks = 0;
  /** Resources of all members in core equivalents; see CoreEquivalents(). */
  double cores = 0.0;
  /** Time since the holder first loaded the job. */
  Milliseconds waited{ 0 };

  auto operator<=>(const PlacedUnit&) const = default;
};

}
