#pragma once

#include "contracts/job.h"
#include "core/instant.h"

#include <optional>

namespace sardinecourse {

/** One job of an arrival stream. The policy under test is not given its true
 * run time or the time of its cancellation. */
struct Arrival
{
  Job job;
  Instant at;
  Milliseconds trueRunTime{ 0 };
  /** When its caller cancels it; empty when it never does. */
  std::optional<Instant> cancelledAt;
};

}
