#pragma once

#include "core/instant.h"

#include <cstdint>

namespace sardinecourse {

/** Bounds of the wait between attempts. */
struct BackoffBounds
{
  Milliseconds first{ 100 };
  Milliseconds most{ 2000 };
};

/** Wait before the next attempt after aFailures in a row: doubled each time,
 * with a random half taken off so that hosts do not all try at once. */
Milliseconds
Backoff(const BackoffBounds& aBounds,
        std::int32_t aFailures,
        std::uint64_t aRandom);

}
