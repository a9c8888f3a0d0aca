#pragma once

#include "machines/caller_limits.h"

#include <cstdint>
#include <optional>

namespace sardinecourse {

class Reason;
class YamlReader;

/** Defaults that differ between kinds of hosts. */
struct CallerLimitDefaults
{
  std::int64_t memoryMb;
  std::int64_t bodyKb;
};

/** Reads the optional section "limits" of a host's settings. Limits that are
 * absent follow from the memory and descriptors of the machine. Errors in the
 * values are recorded in the reader; empty, with the reason, when the limits do
 * not fit together. */
std::optional<CallerLimits>
ReadCallerLimits(YamlReader& aHost,
                 const CallerLimitDefaults& aDefaults,
                 Reason& aReason);

}
