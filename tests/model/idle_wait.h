#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A unit that waited although there was room for it. */
struct IdleWait
{
  JobKey job;
  std::int32_t priority = 0;
  /** Number of tasks of the unit. */
  std::int32_t count = 0;
  /** Whether the unit prefers one rack, or the rack of its data. */
  bool prefersRack = false;
  /** Time since the holder first saw the job. */
  Milliseconds waited{ 0 };
  /** Declared run time of a task. */
  Milliseconds estimate{ 0 };
  /** How long it has waited beside free room without a break. */
  Milliseconds idle{ 0 };
  /** Share of the fleet's accelerators in use, in percent. */
  std::int64_t acceleratorsUsed = 0;
  /** Whether a run of the unit counts as being on a worker. */
  bool isPlaced = false;

  auto operator<=>(const IdleWait&) const = default;
};

}
