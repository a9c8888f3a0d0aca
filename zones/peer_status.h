#pragma once

#include "core/names.h"
#include "zones/peer_state.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** State and settings revision of one peer in a PeerView. */
struct PeerStatus
{
  HostName host;
  DataCentreName dataCentre;
  PeerState state = PeerState::kUnknown;
  std::int64_t revision = 0;

  auto operator<=>(const PeerStatus&) const = default;
};

}
