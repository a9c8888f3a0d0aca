#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** First message on a peer connection in both directions; identifies the
 * sender. */
struct PeerHello
{
  HostName host;
  DataCentreName dataCentre;
  /** Random number drawn at each start of the daemon. */
  std::int64_t incarnation = 0;
  /** Revision of the settings in force at the sender. */
  std::int64_t revision = 0;

  auto operator<=>(const PeerHello&) const = default;
};

}
