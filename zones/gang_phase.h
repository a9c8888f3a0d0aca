#pragma once

#include <cstdint>

namespace sardinecourse {

/** Combined state of the members of a gang. */
enum class GangPhase : std::uint8_t
{
  /** All members were started, and at least one is still held. */
  kHeld,
  /** All members were released, and not all have ended. */
  kRunning,
  /** All members completed. */
  kFinished,
  /** A member is missing, failed, stopped, or on an unreachable worker. */
  kBroken
};

}
