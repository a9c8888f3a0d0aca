#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "machines/worker_health.h"

#include <cstddef>
#include <vector>

namespace sardinecourse {

/**
 * The workers on which nothing should start because of their failures. At most
 * a quarter of aPool workers, those with the most failures: when more than that
 * fail, the fault is likely not theirs, and the pool has to keep trying.
 */
std::vector<WorkerName>
SelectQuarantined(const std::vector<WorkerHealth>& aHealth,
                  std::size_t aPool,
                  Instant aNow);

}
