#pragma once

#include <cstdint>

namespace sardinecourse {

/** Outcome of a command to a worker, as far as the call could determine it. */
enum class CommandOutcome : std::uint8_t
{
  /** It took effect. */
  kDone,
  /** It certainly did not take effect. */
  kRefused,
  /** It may have taken effect, or may still do so within the command's timeout.
   */
  kNotKnown
};

}
