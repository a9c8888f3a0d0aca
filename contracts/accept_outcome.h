#pragma once

#include <cstdint>

namespace sardinecourse {

/** Outcome of a settings proposal. */
enum class AcceptOutcome : std::uint8_t
{
  kAccepted,
  /** The newest revision already has the same text. */
  kUnchanged,
  /** Not accepted and never will be: another change was accepted first. */
  kConflict,
  /** Not accepted and never will be: the text is invalid. */
  kInvalid,
  /** Not accepted and never will be: the platform could not be reached. */
  kUnreachable,
  /** Unknown: it may have been accepted, or may still be. */
  kNotKnown
};

}
