#pragma once

#include <cstdint>

namespace sardinecourse {

/** How a run of a task ended. */
enum class RunOutcome : std::uint8_t
{
  kDone,
  /** Through the task's own fault or the worker's; counts as an attempt. */
  kFailed,
  kStopped,
  /** The worker's lease ran out. */
  kLeaseExpired,
  /** Another member of its gang ended. */
  kBroken,
  /** The other members of its gang did not come in time. */
  kGangIncomplete
};

}
