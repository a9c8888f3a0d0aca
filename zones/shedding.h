#pragma once

#include "core/instant.h"

#include <cstdint>

namespace sardinecourse {

struct ServicePool;

/** Number of slots that this host may use at a pool's minions that are not
 * leaving. */
std::int32_t
UsableSlots(const ServicePool& aPool);

/**
 * Expected time until a request with aAhead others before it in the queue gets
 * a slot, by Little's law: each slot becomes free once per aLatency.
 */
std::chrono::microseconds
ExpectedWait(std::int32_t aAhead,
             std::int32_t aSlots,
             std::chrono::microseconds aLatency);

/**
 * True if a request should be refused at once instead of queued: it would get
 * its answer after its deadline, and would only delay those behind it.
 */
bool
ShouldShed(std::chrono::microseconds aWait,
           std::chrono::microseconds aLatency,
           Clock::duration aRemaining);

}
