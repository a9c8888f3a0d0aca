#pragma once

#include "zones/gang_start.h"
#include "zones/job_wait.h"
#include "zones/preemption.h"

#include <compare>
#include <utility>
#include <vector>

namespace sardinecourse {

/** The decisions for all waiting jobs. Starts take only free accelerators; a
 * job for which gangs are preempted waits until they have stopped. */
class ScheduleDecision
{
public:
  ScheduleDecision(std::vector<GangStart> aStarts,
                   std::vector<Preemption> aPreemptions,
                   std::vector<JobWait> aWaits)
    : starts(std::move(aStarts))
    , preemptions(std::move(aPreemptions))
    , waits(std::move(aWaits))
  {
  }

  const std::vector<GangStart>& Starts() const { return this->starts; }
  const std::vector<Preemption>& Preemptions() const
  {
    return this->preemptions;
  }
  const std::vector<JobWait>& Waits() const { return this->waits; }

  auto operator<=>(const ScheduleDecision&) const = default;

private:
  std::vector<GangStart> starts;
  std::vector<Preemption> preemptions;
  std::vector<JobWait> waits;
};

}
