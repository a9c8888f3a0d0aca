#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Counts of messages and their payload bytes since the start, over all peers.
 */
struct PeerTraffic
{
  std::uint64_t sentMessages = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedMessages = 0;
  std::uint64_t receivedBytes = 0;

  auto operator<=>(const PeerTraffic&) const = default;
};

}
