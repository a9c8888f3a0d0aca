#pragma once

#include "zones/pace/pace_class.h"

#include <compare>

namespace sardinecourse {

/** A range of pace classes, both ends included. */
struct PaceBand
{
  PaceClass slowest = PaceClass::kSlow;
  PaceClass fastest = PaceClass::kFast;

  bool Contains(PaceClass aClass) const
  {
    return this->slowest <= aClass && aClass <= this->fastest;
  }

  auto operator<=>(const PaceBand&) const = default;
};

}
