#pragma once

#include "core/instant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace sardinecourse {

/** A virtual clock with what is to happen; events of the same time happen in
 * the order in which they were added. */
class EventQueue
{
public:
  using Action = std::function<void()>;

  Instant Now() const { return this->now; }

  void After(Milliseconds aTime, Action aAction)
  {
    this->events.emplace(std::pair(this->now + aTime, this->next++),
                         std::move(aAction));
  }

  /** Lets events happen until aIsOver() or aEnd. */
  template<typename IsOver>
  void Run(Instant aEnd, IsOver aIsOver)
  {
    while (!this->events.empty() && !aIsOver()) {
      auto first = this->events.extract(this->events.begin());
      if (first.key().first > aEnd) {
        return;
      }
      this->now = first.key().first;
      first.mapped()();
    }
  }

private:
  // The steady clock's zero means "never" in the book.
  static constexpr Milliseconds kEpoch{ 1'000'000 };

  Instant now{ kEpoch };
  std::uint64_t next = 0;
  std::map<std::pair<Instant, std::uint64_t>, Action> events;
};

}
