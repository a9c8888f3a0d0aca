#pragma once

#include <cstdint>

namespace sardinecourse {

/** State of one member of a run, as the holder has recorded it. */
enum class MemberPhase : std::uint8_t
{
  /** The start was ordered; no answer has arrived yet. */
  kOrdered,
  /** The worker confirmed that the member runs. */
  kRunning,
  /** The start was not answered: the member may run already, or the order may
   * still reach the worker. */
  kUncertain,
  /** The member does not run, and no outstanding order can start it. */
  kGone
};

}
