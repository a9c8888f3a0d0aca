#pragma once

#include "core/instant.h"
#include "zones/data_centre_load.h"
#include "zones/schedule_decision.h"
#include "zones/waiting_job.h"

#include <concepts>
#include <vector>

namespace sardinecourse {

/** A policy that can be compared: decides about the waiting jobs of a data
 * centre. */
template<typename Policy>
concept PlacementPolicy = requires(Policy& aPolicy,
                                   const DataCentreLoad& aLoad,
                                   const std::vector<WaitingJob>& aWaiting,
                                   Instant aNow)
{
  {
    aPolicy.Decide(aLoad, aWaiting, aNow)
    } -> std::same_as<ScheduleDecision>;
};

}
