#pragma once

#include "core/instant.h"

#include <cstdint>
#include <map>

namespace sardinecourse {

/** Tells from the calls of one thread whether the store has fallen silent, long
 * before the proof of the configuration is too old. */
class StoreHealth
{
public:
  /** Notes a call that is being sent; gives its number. */
  std::uint64_t CallSent(Instant aNow);
  /** Notes the end of a call; a refusal is an answer too. */
  void CallCompleted(std::uint64_t aCall, bool aIsAnswered, Instant aNow);

  /** Whether the store leaves calls unanswered; what is sent to it now would
   * most likely share their fate. */
  bool IsUnresponsive(Instant aNow) const;

private:
  std::uint64_t last = 0;
  std::map<std::uint64_t, Instant> pending;
  /** When the latest call ended, if that was without an answer. */
  Instant lostAt{};
};

}
