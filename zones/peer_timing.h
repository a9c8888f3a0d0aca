#pragma once

#include "core/instant.h"

#include <compare>

namespace sardinecourse {

/** Heartbeat interval of peers of one kind, and the times without a message
 * after which a peer is suspected and gone. */
struct PeerTiming
{
  Milliseconds heartbeat;
  Milliseconds suspectAfter;
  Milliseconds goneAfter;

  auto operator<=>(const PeerTiming&) const = default;
};

/** Hosts of one data centre share minions and leases, so they detect a failed
 * peer early. */
constexpr PeerTiming kTimingInDataCentre{ Milliseconds(1500),
                                          Milliseconds(4000),
                                          Milliseconds(30000) };
/** At full fleet size most connections are between data centres, so heartbeats
 * on them are rare. */
constexpr PeerTiming kTimingAcrossDataCentres{ Milliseconds(8000),
                                               Milliseconds(20000),
                                               Milliseconds(120000) };

}
