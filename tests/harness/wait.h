#pragma once

#include "core/instant.h"

#include <chrono>
#include <thread>

namespace sardinecourse::harness {

constexpr Milliseconds kPollInterval{ 5 };

/** Polls aIsTrue() until it returns true; false at the timeout. */
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
