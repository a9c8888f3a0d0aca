#pragma once

#include <cstdint>

namespace sardinecourse {

/** What became of a proposal of settings. */
enum class AcceptOutcome : std::uint8_t
{
  kAccepted,
  /** The same text is the newest revision already. */
  kUnchanged,
  /** Certainly not accepted: another change came first. */
  kConflict,
  /** Certainly not accepted: the text is at fault. */
  kInvalid,
  /** Certainly not accepted: the platform could not be reached. */
  kUnreachable,
  /** It may have been accepted, or may yet be. */
  kNotKnown
};

}
