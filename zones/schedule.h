#pragma once

#include "core/instant.h"
#include "zones/schedule_decision.h"
#include "zones/waiting_job.h"

#include <vector>

namespace sardinecourse {

class DataCentreLoad;
class PlacementWeights;

/**
 * Decides for every waiting job whether and where it starts now, whether
 * borrowed gangs are preempted for it, or what it waits for. Equal arguments
 * give equal decisions, so a caller may call again while the victims of the
 * previous decision are still stopping. A job that is being started must
 * already be listed as a running gang of aLoad.
 */
ScheduleDecision
Schedule(const DataCentreLoad& aLoad,
         const std::vector<WaitingJob>& aWaiting,
         const PlacementWeights& aWeights,
         Instant aNow);

}
