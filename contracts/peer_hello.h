#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** First message of a peer connection, from both sides: who is there. */
struct PeerHello
{
  HostName host;
  DataCentreName dataCentre;
  /** Drawn anew at each start of the daemon. */
  std::int64_t incarnation = 0;
  /** Revision of the settings in force there. */
  std::int64_t revision = 0;

  auto operator<=>(const PeerHello&) const = default;
};

}
