#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** Workers on which the latest run of a unit was started. It is stored before
 * the start is ordered, so that the next holder can determine which workers may
 * have the run. */
struct UnitPlacement
{
  /** Index of the unit within its job. */
  std::int32_t unit = 0;
  std::int64_t run = 0;
  /** Checkpoint that the next run resumes from; empty when there is none. */
  std::string saved;
  /** One worker per member; empty if no member can be running. */
  std::vector<WorkerName> workers;

  auto operator<=>(const UnitPlacement&) const = default;
};

}
