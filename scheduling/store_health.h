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
  /** Records the end of a call; a refusal counts as an answer. */
  void CallCompleted(std::uint64_t aCall, bool aIsAnswered, Instant aNow);

  /** Whether the store leaves calls unanswered, so that a call sent now would
   * probably not be answered either. */
  bool IsUnresponsive(Instant aNow) const;

private:
  std::uint64_t lastCall = 0;
  std::map<std::uint64_t, Instant> pending;
  /** When the last completed call ended, if it got no answer. */
  Instant unansweredAt{};
};

}
