#include "scheduling/store_health.h"

#include <algorithm>

namespace sardinecourse {

namespace {

/** Time without an answer after which the store counts as unresponsive. A slow
 * store still answers within 0.6 s: 60 times its usual 4 ms per call plus 60
 * times the 6 ms of a transaction. */
constexpr Milliseconds kUnresponsiveAfter{ 1000 };

}

std::uint64_t
StoreHealth::CallSent(Instant aNow)
{
  this->pending.emplace(++this->lastCall, aNow);
  return this->lastCall;
}

void
StoreHealth::CallCompleted(std::uint64_t aCall, bool aIsAnswered, Instant aNow)
{
  const auto found = this->pending.find(aCall);
  const Instant sentAt = found == this->pending.end() ? aNow : found->second;
  this->pending.erase(aCall);
  if (aIsAnswered) {
    this->unansweredAt = Instant();
  } else if (aNow >= sentAt + kUnresponsiveAfter) {
    this->unansweredAt = aNow;
    this->unansweredSent = sentAt;
  }
}

bool
StoreHealth::IsUnresponsive(Instant aNow, Instant aAnswered) const
{
  const bool isWaiting = std::any_of(
    this->pending.begin(), this->pending.end(), [&](const auto& aCall) {
      return aCall.second >= aAnswered &&
             aNow >= aCall.second + kUnresponsiveAfter;
    });
  const bool isRecentlyUnanswered =
    this->unansweredAt != Instant() && this->unansweredSent >= aAnswered &&
    aNow < this->unansweredAt + kUnresponsiveAfter;
  return isWaiting || isRecentlyUnanswered;
}

}
