#pragma once

#include "core/instant.h"
#include "zones/waiting_job.h"

#include <cstdint>
#include <vector>

namespace sardinecourse {

class DataCentreLoad;

/**
 * Indices of the waiting jobs in the order in which they are decided:
 * guaranteed jobs, urgent ones, large gangs, then the rest. Within a class the
 * team that uses the fewest accelerators goes first, counting those that its
 * earlier waiting jobs request; a job that is neither guaranteed nor urgent and
 * has waited longer than 10 minutes goes before the rest of its class, by age
 * alone.
 */
std::vector<std::int32_t>
OrderJobs(const DataCentreLoad& aLoad,
          const std::vector<WaitingJob>& aWaiting,
          Instant aNow);

}
