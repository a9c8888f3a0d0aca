#include "core/backoff.h"

#include <algorithm>

namespace sardinecourse {

Milliseconds
Backoff(const BackoffBounds& aBounds,
        std::int32_t aFailures,
        std::uint64_t aRandom)
{
  // More doublings always exceed the max wait.
  constexpr std::int32_t kMaxDoublings = 16;
  const std::int32_t doublings =
    std::clamp(aFailures - 1, std::int32_t{ 0 }, kMaxDoublings);
  const Milliseconds wait =
    std::min<Milliseconds>(aBounds.max, aBounds.first * (1LL << doublings));
  const auto half = static_cast<std::uint64_t>(wait.count() / 2);
  return Milliseconds(wait.count() -
                      static_cast<std::int64_t>(aRandom % (half + 1)));
}

}
