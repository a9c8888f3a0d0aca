#pragma once

#include <cstdint>

namespace sardinecourse {

/** What the members of a gang, taken together, are doing. */
enum class GangPhase : std::uint8_t
{
  /** All members were started, and at least one is still held. */
  kHeld,
  /** All members were released, and not all have ended. */
  kRunning,
  /** All members ran to their end. */
  kFinished,
  /** A member is missing, failed, stopped, or out of reach. */
  kBroken
};

}
