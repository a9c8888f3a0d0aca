#pragma once

#include "core/boot_clock.h"

#include <chrono>

namespace sardinecourse {

using Clock = BootClock;
/** A point in time on this host's monotonic clock; not comparable between
 * hosts. */
using Instant = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

}
