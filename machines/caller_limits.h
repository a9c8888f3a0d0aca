#pragma once

#include "core/instant.h"

#include <algorithm>
#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Limits on what callers can make one host hold. The totals apply to all
 * connections of the process together, on all its addresses. */
class CallerLimits
{
public:
  /** Max memory for connections, requests and answers that wait for callers. */
  std::int64_t MemoryBytes() const { return this->memoryBytes; }
  /** Max number of open connections. */
  std::int64_t Connections() const { return this->connections; }
  /** Max bytes of a request's header, of its trailers, and of the header of one
   * of its chunks. */
  std::int64_t HeaderBytes() const { return this->headerBytes; }
  /** Max number of header fields and trailers of a request. */
  std::int64_t HeaderFields() const { return this->headerFields; }
  /** Max bytes of a request's body. */
  std::int64_t BodyBytes() const { return this->bodyBytes; }
  /** Time until the first byte of the next request must arrive. */
  Milliseconds IdleTime() const { return this->idleTime; }
  /** Time from the first byte of a request until all of it must have arrived.
   */
  Milliseconds RequestTime() const { return this->requestTime; }
  /** Time in which the caller must read an answer. */
  Milliseconds AnswerTime() const { return this->answerTime; }

  /** The part of one of aServers: connections and memory are divided, but for
   * a few connections that each has, and the other limits are the same. */
  CallerLimits ShareOf(std::int64_t aServers) const
  {
    CallerLimits share = *this;
    share.memoryBytes /= aServers;
    share.connections = std::max(share.connections / aServers,
                                 std::min(share.connections, kMinConnections));
    return share;
  }

  /** Limits that no caller meets, for servers whose callers are trusted. */
  static CallerLimits ForTrusted()
  {
    constexpr unsigned kShift = 40;
    CallerLimits limits;
    limits.memoryBytes = std::int64_t{ 1 } << kShift;
    limits.connections = limits.memoryBytes;
    limits.headerBytes = std::int64_t{ 1 } << 20U;
    limits.headerFields = limits.headerBytes;
    limits.bodyBytes = limits.memoryBytes;
    return limits;
  }

  auto operator<=>(const CallerLimits&) const = default;

private:
  friend class CallerLimitsBuilder;

  /** A balancer and the operators' tools need that many. */
  static constexpr std::int64_t kMinConnections = 4;

  std::int64_t memoryBytes = std::int64_t{ 64 } << 20U;
  std::int64_t connections = 1298;
  std::int64_t headerBytes = std::int64_t{ 64 } << 10U;
  std::int64_t headerFields = 100;
  std::int64_t bodyBytes = std::int64_t{ 256 } << 10U;
  Milliseconds idleTime{ 75'000 };
  Milliseconds requestTime{ 60'000 };
  Milliseconds answerTime{ 75'000 };
};

}
