#pragma once

#include <cstdint>

namespace sardinecourse {

/** How a run of a task ended. */
enum class RunOutcome : std::uint8_t
{
  kDone,
  /** The task or its worker failed; counts as an attempt. */
  kFailed,
  kStopped,
  /** The worker's lease expired. */
  kLeaseExpired,
  /** Another member of its gang ended first. */
  kBroken,
  /** The other members of its gang did not start in time. */
  kGangIncomplete
};

}
