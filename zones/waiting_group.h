#pragma once

#include "core/names.h"
#include "core/wall_time.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Units of one step in one occurrence that wait for placement: a gang, or
 * independent tasks. Groups are served in ascending order. */
struct WaitingGroup
{
  std::int32_t priority = 0;
  /** Whether the job is urgent and its team uses more than it is guaranteed;
   * false where room is not shared. */
  bool isBeyondGuarantee = false;
  /** When the job was admitted, or a later time if it lets others go first. */
  WallTime position{};
  JobKey job;
  /** Number of the first unit that waits. */
  std::int32_t firstUnit = 0;
  std::int32_t occurrence = 0;
  std::int32_t step = 0;
  /** Number of tasks that may be placed for the first time. */
  std::int64_t maxNewTasks = 0;

  auto operator<=>(const WaitingGroup&) const = default;
};

}
