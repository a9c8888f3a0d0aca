#pragma once

#include "core/instant.h"

#include <chrono>
#include <thread>

namespace sardinecourse::harness {

constexpr Milliseconds kPollInterval{ 5 };

/** Polls until aIsTrue() holds; false when it still does not at the timeout. */
template<typename Predicate>
bool
WaitUntil(Milliseconds aTimeout, Predicate aIsTrue)
{
  const Instant deadline = Clock::now() + aTimeout;
  while (!aIsTrue()) {
    if (Clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}
