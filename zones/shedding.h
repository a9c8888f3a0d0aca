#pragma once

#include "core/instant.h"

#include <cstdint>

namespace sardinecourse {

struct ServicePool;

/** Slots that this host may use on those of a pool's minions that stay. */
std::int32_t
UsableSlots(const ServicePool& aPool);

/**
 * Time until a request with aAhead others before it in line gets a slot, by
 * Little's law: each slot becomes free once in aLatency.
 */
std::chrono::microseconds
ExpectedWait(std::int32_t aAhead,
             std::int32_t aSlots,
             std::chrono::microseconds aLatency);

/**
 * True if a request should be refused at once rather than wait: it would get
 * its answer after its deadline, and would only delay those behind it.
 */
bool
ShouldShed(std::chrono::microseconds aWait,
           std::chrono::microseconds aLatency,
           Clock::duration aRemaining);

}
