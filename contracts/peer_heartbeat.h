#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Sent at a fixed interval, to detect an unresponsive connection, and at once
 * when a new settings revision comes into force. */
struct PeerHeartbeat
{
  /** Revision of the settings in force at the sender. */
  std::int64_t revision = 0;

  auto operator<=>(const PeerHeartbeat&) const = default;
};

}
