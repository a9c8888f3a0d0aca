#pragma once

#include "core/instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace sardinecourse {

/** Discrete-event queue with a virtual clock. Events of the same time run in
 * the order in which they were added. */
class EventQueue
{
public:
  using Action = std::function<void()>;

  Instant Now() const { return this->now; }

  void ScheduleAfter(Milliseconds aDelay, Action aAction)
  {
    this->events.emplace(std::pair(this->now + aDelay, this->nextNumber++),
                         std::move(aAction));
  }

  /** Runs events until aIsDone() holds, the queue is empty or aEnd has passed.
   */
  template<typename IsDone>
  void Run(Instant aEnd, IsDone aIsDone)
  {
    while (!this->events.empty() && !aIsDone()) {
      auto first = this->events.extract(this->events.begin());
      if (first.key().first > aEnd) {
        return;
      }
      this->now = first.key().first;
      first.mapped()();
    }
  }

private:
  // The clock starts above zero because a zero Instant means "never" in
  // DomainState.
  static constexpr Milliseconds kEpoch{ 1'000'000 };

  Instant now{ kEpoch };
  std::uint64_t nextNumber = 0;
  std::map<std::pair<Instant, std::uint64_t>, Action> events;
};

}
