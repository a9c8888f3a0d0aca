#pragma once

#include "core/instant.h"

#include <chrono>
#include <string>

namespace sardinecourse {

/** A point in time on this host's wall clock, which differs from those of other
 * machines by up to some seconds. */
using WallTime = std::chrono::sys_time<Milliseconds>;

/** Current wall-clock time of this host, in milliseconds. */
WallTime
WallNow();

/** Formats a time in UTC, for example "2026-01-31T09:30:00Z". */
std::string
WallTimeText(WallTime aTime);

}
