#pragma once

#include <cstdint>

namespace sardinecourse {

/** Outcome of a transaction as far as the caller could determine it. */
enum class WriteOutcome : std::uint8_t
{
  /** Committed. */
  kCommitted,
  /** Not committed and never will be: a check failed. */
  kConflict,
  /** Not committed and never will be: it was not sent or was refused. */
  kNotWritten,
  /** Unknown: it may have been committed, or may still be. */
  kNotKnown
};

}
