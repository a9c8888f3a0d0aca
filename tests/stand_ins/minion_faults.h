#pragma once

#include <cstdint>
#include <string>

namespace sardinecourse {

/** What a stand-in minion does wrong. A fault "every" N hits each Nth request;
 * zero is never. */
struct MinionFaults
{
  std::int64_t serviceUs = 0;
  /** Runs the request, then waits lateMs longer before it answers. */
  std::int64_t lateEvery = 0;
  std::int64_t lateMs = 0;
  /** Runs it, then answers with half of the bytes and closes. */
  std::int64_t truncateEvery = 0;
  /** Sends the answer twice. */
  std::int64_t duplicateEvery = 0;
  /** Sends the answer to the request before on this connection first. */
  std::int64_t staleEvery = 0;
  /** Runs it, then closes the connection without an answer. */
  std::int64_t dropEvery = 0;
  /** Runs it, then never says a word on this connection again. */
  std::int64_t silentEvery = 0;
  /** Closes the connection after the answer without having said so. */
  std::int64_t closeEvery = 0;
  /** Answers 500. */
  std::int64_t failEvery = 0;
  /** Refuses all work: 503, "not-run" and leaving. */
  bool refuse = false;
  /** Serves, and says in each answer that it is leaving. */
  bool leaving = false;
  /** Does not echo the identity of the request. */
  bool mute = false;
};

}
