#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "machines/worker_health.h"

#include <cstddef>
#include <vector>

namespace sardinecourse {

/**
 * Selects the workers on which nothing should start because of their failures:
 * at most a quarter of aPool workers, those with the most failures. When more
 * workers than that fail, the cause is probably not the workers, and the rest
 * must stay in use.
 */
std::vector<WorkerName>
SelectQuarantined(const std::vector<WorkerHealth>& aHealth,
                  std::size_t aPool,
                  Instant aNow);

}
