#pragma once

#include "contracts/job_step.h"
#include "core/instant.h"
#include "core/wall_time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** The work that a caller submits: steps that run once, repeatedly or at fixed
 * times. */
class JobPlan
{
public:
  /** Opaque text passed to each task when it starts. */
  const std::string& Payload() const { return this->payload; }
  const std::vector<JobStep>& Steps() const { return this->steps; }
  /** Number of times that the steps run. */
  std::int32_t Occurrences() const { return this->occurrences; }
  /** True if the occurrences are due at fixed times. */
  bool IsTimed() const { return this->isTimed; }
  /** When the first occurrence of a timed job is due, in wall-clock time. */
  WallTime FirstDue() const { return this->firstDue; }
  /** Time between two occurrences of a timed job. */
  Milliseconds Interval() const { return this->interval; }
  /** When an occurrence of a timed job is due, in wall-clock time. */
  WallTime DueOf(std::int32_t aOccurrence) const;
  /** Number of units in all occurrences: a gang counts as one unit, every other
   * task as one. The largest number of the type if there are more. */
  std::int64_t UnitCount() const;

  auto operator<=>(const JobPlan&) const = default;

private:
  friend class JobPlanBuilder;

  std::string payload;
  std::vector<JobStep> steps;
  std::int32_t occurrences = 1;
  bool isTimed = false;
  WallTime firstDue = {};
  Milliseconds interval = {};
};

}
