#pragma once

#include "core/instant.h"
#include "links/peer_socket.h"
#include "machines/entry_host.h"
#include "zones/peer_observation.h"

#include <cstdint>

namespace sardinecourse {

/** What PeerLinks keeps of one peer. */
struct PeerRecord
{
  EntryHost host;
  /** Named by the settings; a peer known only by its own hello is not, and is
   * forgotten when its connection ends. */
  bool isListed = false;
  PeerObservation observation;
  std::int64_t incarnation = 0;
  /** The connection in use, 0 while there is none. */
  PeerSocket::Id connection = 0;
  /** Our dial under way, 0 while there is none. */
  PeerSocket::Id dialling = 0;
  std::int32_t failures = 0;
  Instant nextDial;
  Instant lastSent;
};

}
