#pragma once

#include "core/instant.h"

#include <chrono>
#include <string>

namespace sardinecourse {

/** A point of this host's calendar clock, to be shown and never compared with
 * that of another host. */
using WallTime = std::chrono::sys_time<Milliseconds>;

/** What this host's calendar clock shows. */
WallTime
WallNow();

/** For example "2026-01-31T09:30:00Z". */
std::string
WallTimeText(WallTime aTime);

}
