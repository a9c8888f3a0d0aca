#include "scheduling/store_health.h"

namespace sardinecourse {

namespace {

/** A slow store answers within 0.6 s: 60 times its 4 ms, and a transaction's
 * 6 ms as often. */
constexpr Milliseconds kSilence{ 1000 };

}

std::uint64_t
StoreHealth::CallSent(Instant aNow)
{
  this->pending.emplace(++this->last, aNow);
  return this->last;
}

void
StoreHealth::CallCompleted(std::uint64_t aCall, bool aIsAnswered, Instant aNow)
{
  this->pending.erase(aCall);
  this->lostAt = aIsAnswered ? Instant() : aNow;
}

bool
StoreHealth::IsUnresponsive(Instant aNow) const
{
  const bool isWaiting =
    !this->pending.empty() && aNow >= this->pending.begin()->second + kSilence;
  const bool isLost =
    this->lostAt != Instant() && aNow < this->lostAt + kSilence;
  return isWaiting || isLost;
}

}
