#pragma once

#include <cstdint>

namespace sardinecourse {

/** What is known of one member of a run. */
enum class MemberPhase : std::uint8_t
{
  /** Its start was ordered and is not answered yet. */
  kOrdered,
  /** The worker said that it is there. */
  kRunning,
  /** Its start got no answer: it may be there, or may still come. */
  kUncertain,
  /** It is certain that it does not run and never will. */
  kGone
};

}
