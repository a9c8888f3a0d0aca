#include "zones/peer_view.h"

#include "zones/peer_timing.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace {

PeerState
ClassifyPeer(const PeerObservation& aObservation,
             const PeerTiming& aTiming,
             Instant aNow)
{
  if (aObservation.left) {
    return PeerState::kGone;
  }
  if (!aObservation.lastReceived) {
    return PeerState::kUnknown;
  }
  const auto unresponsiveFor = aNow - *aObservation.lastReceived;
  if (unresponsiveFor >= aTiming.goneAfter) {
    return PeerState::kGone;
  }
  const bool isUnresponsive = unresponsiveFor >= aTiming.suspectAfter;
  return isUnresponsive || !aObservation.connected ? PeerState::kSuspected
                                                   : PeerState::kLive;
}

}

std::string_view
PeerStateName(PeerState aState)
{
  switch (aState) {
    case PeerState::kUnknown:
      return "unknown";
    case PeerState::kLive:
      return "live";
    case PeerState::kSuspected:
      return "suspected";
    case PeerState::kGone:
      return "gone";
  }
  return "unknown";
}

PeerView::PeerView(DataCentreName aOwn, std::vector<PeerStatus> aPeers)
  : own(std::move(aOwn))
  , peers(std::move(aPeers))
{
}

PeerState
PeerView::StateOf(const HostName& aHost) const
{
  const auto found = std::find_if(
    this->peers.begin(), this->peers.end(), [&aHost](const PeerStatus& aPeer) {
      return aPeer.host == aHost;
    });
  return found == this->peers.end() ? PeerState::kUnknown : found->state;
}

std::int64_t
PeerView::CountInDataCentre(PeerState aState) const
{
  return std::count_if(
    this->peers.begin(), this->peers.end(), [&](const PeerStatus& aPeer) {
      return aPeer.dataCentre == this->own && aPeer.state == aState;
    });
}

std::int64_t
PeerView::CountInOtherDataCentres(PeerState aState) const
{
  return std::count_if(
    this->peers.begin(), this->peers.end(), [&](const PeerStatus& aPeer) {
      return aPeer.dataCentre != this->own && aPeer.state == aState;
    });
}

bool
PeerView::CutOff() const
{
  const bool isOnlyDataCentre = std::all_of(
    this->peers.begin(), this->peers.end(), [this](const PeerStatus& aPeer) {
      return aPeer.dataCentre == this->own;
    });
  return !isOnlyDataCentre &&
         this->CountInOtherDataCentres(PeerState::kLive) == 0;
}

std::int64_t
PeerView::HighestRevision() const
{
  std::int64_t highest = 0;
  for (const PeerStatus& peer : this->peers) {
    highest = std::max(highest, peer.revision);
  }
  return highest;
}

PeerView
ClassifyPeers(const DataCentreName& aOwn,
              const std::vector<PeerObservation>& aObservations,
              Instant aNow)
{
  std::vector<PeerStatus> peers;
  peers.reserve(aObservations.size());
  for (const PeerObservation& observation : aObservations) {
    const bool isInDataCentre = observation.dataCentre == aOwn;
    const PeerState state = ClassifyPeer(
      observation,
      isInDataCentre ? kTimingInDataCentre : kTimingAcrossDataCentres,
      aNow);
    peers.push_back({ observation.host,
                      observation.dataCentre,
                      state,
                      observation.revision });
  }
  return { aOwn, std::move(peers) };
}

}
