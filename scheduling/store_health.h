#pragma once

#include "core/instant.h"

#include <cstdint>
#include <map>

namespace sardinecourse {

/** Detects from the calls of one thread that the store is unresponsive. It does
 * so long before the confirmation of the configuration is too old. */
class StoreHealth
{
public:
  /** Records that a call is sent; returns its number for CallCompleted(). */
  std::uint64_t CallSent(Instant aNow);
  /** Records the end of a call; a refusal counts as an answer. A call that
   * fails early, for example on a connection that the store has closed, shows
   * nothing about the store. */
  void CallCompleted(std::uint64_t aCall, bool aIsAnswered, Instant aNow);

  /** Whether the store leaves calls unanswered, so that a call sent now would
   * probably not be answered either. aAnswered is when a call was sent that the
   * store has answered to any thread: an earlier call that is not answered was
   * lost with its connection. */
  bool IsUnresponsive(Instant aNow, Instant aAnswered) const;

private:
  std::uint64_t lastCall = 0;
  std::map<std::uint64_t, Instant> pending;
  /** When the last call without an answer was given up; empty once a call was
   * answered after it. */
  Instant unansweredAt{};
  /** When that call was sent. */
  Instant unansweredSent{};
};

}
