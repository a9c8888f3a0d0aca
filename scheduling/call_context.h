#pragma once

#include "contracts/job_queue.h"
#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Queue, team and job of one call, resolved from one version of the
 * configuration. */
struct CallContext
{
  JobQueue queue;
  TeamName team;
  /** Empty when the call concerns the whole queue. */
  JobKey job;
  std::int64_t catalogVersion = 0;
  /** Revision of the store row that holds this version. */
  std::int64_t catalogRevision = 0;

  auto operator<=>(const CallContext&) const = default;
};

}
