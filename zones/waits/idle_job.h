#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "zones/waits/wait_cause.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A job that has had nothing running for a while although a task of it is due,
 * as recorded in the event log. */
struct IdleJob
{
  JobKey job;
  std::int32_t priority = 0;
  /** Time without a run, as far as this holder knows. */
  Milliseconds idle{ 0 };
  WaitCause cause;
  /** Number of tasks of the job that the free resources have room for, also
   * where these are reserved or kept free. */
  std::int64_t fitting = 0;

  auto operator<=>(const IdleJob&) const = default;
};

}
