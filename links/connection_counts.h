#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Open connections of an HTTP server by what they do. */
struct ConnectionCounts
{
  /** No byte of the next request has arrived. */
  std::int64_t idle = 0;
  /** A request has begun to arrive. */
  std::int64_t reading = 0;
  /** A request is being handled or its answer written. */
  std::int64_t answering = 0;

  auto operator<=>(const ConnectionCounts&) const = default;
};

}
