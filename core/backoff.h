#pragma once

#include "core/instant.h"

#include <cstdint>

namespace sardinecourse {

/** Min and max wait between attempts. */
struct BackoffBounds
{
  Milliseconds first{ 100 };
  Milliseconds max{ 2000 };
};

/** Wait before the next attempt after aFailures consecutive failures. The wait
 * doubles with each failure up to the max, minus a random part of up to half of
 * it so that hosts do not all retry at once. */
Milliseconds
Backoff(const BackoffBounds& aBounds,
        std::int32_t aFailures,
        std::uint64_t aRandom);

}
