#pragma once

#include <cstdint>
#include <string>

namespace sardinecourse {

/** Faults that a stand-in minion injects. A field that ends in "Every" applies
 * its fault to each Nth request; 0 switches it off. */
struct MinionFaults
{
  /** Run time of each request, in microseconds. */
  std::int64_t serviceUs = 0;
  /** Runs the request, then waits lateMs milliseconds before it answers. */
  std::int64_t lateEvery = 0;
  std::int64_t lateMs = 0;
  /** Runs the request, sends half of the answer and closes the connection. */
  std::int64_t truncateEvery = 0;
  /** Sends the answer twice. */
  std::int64_t duplicateEvery = 0;
  /** Sends the answer to the connection's previous request again before the
   * answer. */
  std::int64_t staleEvery = 0;
  /** Runs the request, then closes the connection without an answer. */
  std::int64_t dropEvery = 0;
  /** Runs the request, then sends nothing more on this connection. */
  std::int64_t silentEvery = 0;
  /** Closes the connection after the answer without announcing it. */
  std::int64_t closeEvery = 0;
  /** Runs the request, then answers 500. */
  std::int64_t failEvery = 0;
  /** Refuses all requests: answers 503 with outcome "not-run" and the leaving
   * flag. */
  bool refuse = false;
  /** Serves, and sets the leaving flag in each answer. */
  bool leaving = false;
  /** Omits the request's identity from the answer. */
  bool mute = false;
};

}
