#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Sent at a fixed interval, so that a silent connection is noticed, and at
 * once when a revision comes into force. */
struct PeerHeartbeat
{
  /** Revision of the settings in force at the sender. */
  std::int64_t revision = 0;

  auto operator<=>(const PeerHeartbeat&) const = default;
};

}
