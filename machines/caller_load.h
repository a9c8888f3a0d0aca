#pragma once

#include "machines/caller_limits.h"
#include "machines/caller_refusal.h"

#include <array>
#include <atomic>
#include <cstdint>

namespace sardinecourse {

/** What callers make this process hold now, over all its threads and
 * addresses. All methods are thread-safe and none blocks. */
class CallerLoad
{
public:
  explicit CallerLoad(const CallerLimits& aLimits)
    : limits(aLimits)
  {
  }

  const CallerLimits& Limits() const { return this->limits; }

  std::int64_t HeldBytes() const
  {
    return this->heldBytes.load(std::memory_order_relaxed);
  }
  std::int64_t OpenConnections() const
  {
    return this->openConnections.load(std::memory_order_relaxed);
  }
  /** Adds a difference, which may be negative. */
  void AddHeldBytes(std::int64_t aDifference)
  {
    this->heldBytes.fetch_add(aDifference, std::memory_order_relaxed);
  }
  void AddConnections(std::int64_t aDifference)
  {
    this->openConnections.fetch_add(aDifference, std::memory_order_relaxed);
  }

  void Count(CallerRefusal aCause)
  {
    this->refusals.at(static_cast<std::size_t>(aCause))
      .fetch_add(1, std::memory_order_relaxed);
  }
  std::uint64_t CountOf(CallerRefusal aCause) const
  {
    return this->refusals.at(static_cast<std::size_t>(aCause))
      .load(std::memory_order_relaxed);
  }

private:
  CallerLimits limits;
  std::atomic<std::int64_t> heldBytes = 0;
  std::atomic<std::int64_t> openConnections = 0;
  std::array<std::atomic<std::uint64_t>, kCallerRefusals> refusals{};
};

}
