#pragma once

#include "core/names.h"

#include <compare>

namespace sardinecourse {

/** Announces that a minion takes no new work. */
struct MinionLeaving
{
  MinionName minion;

  auto operator<=>(const MinionLeaving&) const = default;
};

}
