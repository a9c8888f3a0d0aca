#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace sardinecourse {

/** Raw data of the links about one peer, from which ClassifyPeers() derives its
 * state. */
struct PeerObservation
{
  HostName host;
  DataCentreName dataCentre;
  bool connected = false;
  /** It announced its planned stop and has not been restarted since. */
  bool left = false;
  /** Arrival of its last message, on any connection. */
  std::optional<Instant> lastReceived;
  /** Settings revision that it reported last; 0 before its first report. */
  std::int64_t revision = 0;

  auto operator<=>(const PeerObservation&) const = default;
};

}
