#pragma once

#include "contracts/job.h"
#include "core/instant.h"

#include <optional>

namespace sardinecourse {

/** One job of an arrival stream, with what only the driver knows of it. */
struct Arrival
{
  Job job;
  Instant at;
  Milliseconds trueRunTime{ 0 };
  /** When its caller loses interest. */
  std::optional<Instant> cancelled;
};

}
