#pragma once

#include "core/names.h"
#include "zones/pace/pace_class.h"

#include <compare>

namespace sardinecourse {

/** A worker whose pace came into another class. */
struct PaceChange
{
  WorkerName worker;
  PaceClass from = PaceClass::kTypical;
  PaceClass to = PaceClass::kTypical;
  double pace = 1.0;

  auto operator<=>(const PaceChange&) const = default;
};

}
