#pragma once

#include "core/instant.h"

#include <chrono>
#include <string>

namespace sardinecourse {

/** A point in time on this host's wall clock. For display only; must not be
 * compared with the clock of another host. */
using WallTime = std::chrono::sys_time<Milliseconds>;

/** Current wall-clock time of this host, in milliseconds. */
WallTime
WallNow();

/** Formats a time in UTC, for example "2026-01-31T09:30:00Z". */
std::string
WallTimeText(WallTime aTime);

}
