#pragma once

#include "core/instant.h"
#include "links/peer_socket.h"
#include "machines/entry_host.h"
#include "zones/peer_observation.h"

#include <cstdint>

namespace sardinecourse {

/** PeerLinks' state of one peer. */
struct PeerRecord
{
  EntryHost host;
  /** The settings list the peer. A peer that is known only from its own hello
   * is not listed, and is removed when its connection ends. */
  bool isListed = false;
  PeerObservation observation;
  std::int64_t incarnation = 0;
  /** The connection in use; 0 if there is none. */
  PeerSocket::Id connection = 0;
  /** The connection that this host is dialling; 0 if there is none. */
  PeerSocket::Id dialling = 0;
  /** Failed dials in a row; determines the backoff. */
  std::int32_t failures = 0;
  Instant nextDial;
  Instant lastSent;
};

}
