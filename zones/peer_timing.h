#pragma once

#include "core/instant.h"

#include <compare>

namespace sardinecourse {

/** How often peers of one kind are heard from, and from when on silence means
 * something. */
struct PeerTiming
{
  Milliseconds heartbeat;
  Milliseconds suspectAfter;
  Milliseconds goneAfter;

  auto operator<=>(const PeerTiming&) const = default;
};

/** Hosts of one data centre share minions and leases, so they watch closely. */
constexpr PeerTiming kTimingInDataCentre{ Milliseconds(1500),
                                          Milliseconds(4000),
                                          Milliseconds(30000) };
/** Heartbeats between data centres are most of the connections at full size, so
 * they are kept rare. */
constexpr PeerTiming kTimingAcrossDataCentres{ Milliseconds(8000),
                                               Milliseconds(20000),
                                               Milliseconds(120000) };

}
