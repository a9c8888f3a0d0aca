#pragma once

#include "zones/neighbours/kind_of_work.h"

#include <compare>

namespace sardinecourse {

/** By how much runs of a kind are slowed down beside another, as a share; 0 for
 * a pair that is not known to disturb each other any more. */
struct KindPair
{
  KindOfWork kind;
  KindOfWork beside;
  double slowdown = 0.0;

  auto operator<=>(const KindPair&) const = default;
};

}
