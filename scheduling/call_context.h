#pragma once

#include "contracts/job_queue.h"
#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** What a version of the configuration says of one call. */
struct CallContext
{
  JobQueue queue;
  TeamName team;
  /** Empty when the call is about the queue. */
  JobKey job;
  std::int64_t catalogVersion = 0;
  /** Revision of the row that the version was read from. */
  std::int64_t catalogRevision = 0;

  auto operator<=>(const CallContext&) const = default;
};

}
