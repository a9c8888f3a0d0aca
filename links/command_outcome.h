#pragma once

#include <cstdint>

namespace sardinecourse {

/** What is known of a command to a worker after the call. */
enum class CommandOutcome : std::uint8_t
{
  /** It took effect. */
  kDone,
  /** It certainly did not take effect. */
  kRefused,
  /** It may have taken effect, or may yet within the command's timeout. */
  kNotKnown
};

}
