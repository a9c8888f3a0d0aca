#pragma once

namespace sardinecourse {

/** Exit codes of the tool; docs/TOOL.md describes each. */
enum class ExitCode
{
  kOk = 0,
  /** Refused and certainly not done; for a comparison, different. */
  kRefused = 1,
  /** No definite answer: the request may have been carried out. */
  kNotKnown = 2,
  kUsage = 64,
  /** Certainly not done: no daemon answered, or the daemon could not reach the
   * platform. */
  kUnavailable = 69,
  /** The settings file is invalid. */
  kBadSettings = 78
};

}
