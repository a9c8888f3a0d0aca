#pragma once

#include "zones/unit_ref.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A decision to stop a run in favour of a more urgent unit, as recorded in the
 * event log. */
struct PreemptedUnit
{
  UnitRef unit;
  std::int64_t run = 0;
  /** The unit for which the resources are freed. */
  UnitRef inFavourOf;
  /** Lost work, in core-seconds. */
  double lostWork = 0.0;

  auto operator<=>(const PreemptedUnit&) const = default;
};

}
