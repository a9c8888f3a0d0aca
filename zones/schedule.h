#pragma once

#include "core/instant.h"
#include "zones/schedule_decision.h"
#include "zones/waiting_job.h"

#include <vector>

namespace sardinecourse {

class DataCentreLoad;
class PlacementWeights;

/**
 * Decides for every waiting job whether it starts now and where, whether
 * borrowed gangs stop for it, or what it waits for. Equal arguments give equal
 * decisions, so a caller that is still stopping the victims of the last
 * decision can ask again. A job that is being started must already be among the
 * running gangs.
 */
ScheduleDecision
Schedule(const DataCentreLoad& aLoad,
         const std::vector<WaitingJob>& aWaiting,
         const PlacementWeights& aWeights,
         Instant aNow);

}
