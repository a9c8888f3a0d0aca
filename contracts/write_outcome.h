#pragma once

#include <cstdint>

namespace sardinecourse {

/** What is known of a transaction after the call. */
enum class WriteOutcome : std::uint8_t
{
  /** It took effect. */
  kCommitted,
  /** It certainly did not take effect, and never will: a check failed. */
  kConflict,
  /** It certainly did not take effect, and never will: it was never sent. */
  kNotWritten,
  /** It may have taken effect, or may yet. */
  kNotKnown
};

}
