#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A sign that a minion takes no new work. */
struct MinionLeaving
{
  MinionName minion;
  /** Time from the first sign to the sending. */
  std::int64_t ageMs = 0;

  auto operator<=>(const MinionLeaving&) const = default;
};

}
