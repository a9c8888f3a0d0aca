#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "zones/peer_sighting.h"
#include "zones/peer_standing.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/** Which other entry hosts this host can reach, at one instant. */
class PeerView
{
public:
  PeerView() = default;
  PeerView(DataCentreName aOwn, std::vector<PeerStanding> aPeers);

  const std::vector<PeerStanding>& Peers() const { return this->peers; }
  PeerState StateOf(const HostName& aHost) const;
  /** Peers of the own data centre in aState. */
  std::int64_t CountWithin(PeerState aState) const;
  /** Peers of other data centres in aState. */
  std::int64_t CountBetween(PeerState aState) const;
  /** True when other data centres have hosts and none of them is live. */
  bool CutOff() const;
  /** Highest revision of the settings that any peer named. */
  std::int64_t HighestRevision() const;

  auto operator<=>(const PeerView&) const = default;

private:
  DataCentreName own;
  std::vector<PeerStanding> peers;
};

/** Judges each peer by when it was last heard. A peer that was never heard is
 * unknown, which is neither live nor gone. */
PeerView
JudgePeers(const DataCentreName& aOwn,
           const std::vector<PeerSighting>& aSightings,
           Instant aNow);

}
