#include "contracts/store_clock.h"

#include <algorithm>

namespace sardinecourse {

namespace {

/** Largest ratio of the rates of two steady clocks, as the platform's
 * description specifies it for workers. */
constexpr double kMaxRateRatio = 1.02;

Milliseconds
Stretched(Milliseconds aTime)
{
  const auto stretched = static_cast<double>(aTime.count()) * kMaxRateRatio;
  return Milliseconds(static_cast<std::int64_t>(stretched) + 1);
}

}

StoreClock::StoreClock(std::int64_t aReadMs, Instant aSent, Instant aReceived)
  : readMs(aReadMs)
  , sent(aSent)
  , received(aReceived)
{
}

std::int64_t
StoreClock::LatestAt(Instant aTime) const
{
  const auto passed =
    std::chrono::duration_cast<Milliseconds>(aTime - this->sent);
  return this->readMs + Stretched(std::max(passed, Milliseconds(0))).count();
}

Instant
StoreClock::ReachedBy(std::int64_t aStoreMs) const
{
  if (aStoreMs > this->readMs) {
    return this->received + Stretched(Milliseconds(aStoreMs - this->readMs));
  }
  // At least this much time has passed on this host's clock since then.
  const auto passed =
    static_cast<double>(this->readMs - aStoreMs) / kMaxRateRatio;
  return this->received - Milliseconds(static_cast<std::int64_t>(passed));
}

}
