#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "zones/peer_observation.h"
#include "zones/peer_status.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/** States of the other entry hosts at one instant, as this host determined
 * them. */
class PeerView
{
public:
  PeerView() = default;
  PeerView(DataCentreName aOwn, std::vector<PeerStatus> aPeers);

  const std::vector<PeerStatus>& Peers() const { return this->peers; }
  /** kUnknown when aHost is not listed. */
  PeerState StateOf(const HostName& aHost) const;
  /** Peers of the own data centre in aState. */
  std::int64_t CountInDataCentre(PeerState aState) const;
  /** Peers of other data centres in aState. */
  std::int64_t CountInOtherDataCentres(PeerState aState) const;
  /** True when other data centres have hosts and none of them is live. */
  bool CutOff() const;
  /** Highest settings revision that any peer reported. */
  std::int64_t HighestRevision() const;

  auto operator<=>(const PeerView&) const = default;

private:
  DataCentreName own;
  std::vector<PeerStatus> peers;
};

/** Derives the state of each peer from the time of its last message. A peer
 * that sent none is unknown, which is neither live nor gone. */
PeerView
ClassifyPeers(const DataCentreName& aOwn,
              const std::vector<PeerObservation>& aObservations,
              Instant aNow);

}
