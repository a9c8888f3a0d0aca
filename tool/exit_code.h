#pragma once

namespace sardinecourse {

/** Exit codes of the tool; docs/TOOL.md tells what each means. */
enum class ExitCode
{
  kOk = 0,
  /** Certainly not done, or, for a comparison, different. */
  kRefused = 1,
  /** It may have been done. */
  kNotKnown = 2,
  kUsage = 64,
  /** Certainly not done: no daemon answered. */
  kUnavailable = 69,
  /** The settings file is at fault. */
  kBadSettings = 78
};

}
