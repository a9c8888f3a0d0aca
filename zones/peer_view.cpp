#include "zones/peer_view.h"

#include "zones/peer_timing.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace {

PeerState
Judge(const PeerSighting& aSighting, const PeerTiming& aTiming, Instant aNow)
{
  if (aSighting.left) {
    return PeerState::kGone;
  }
  if (!aSighting.heard) {
    return PeerState::kUnknown;
  }
  const auto silence = aNow - *aSighting.heard;
  if (silence >= aTiming.goneAfter) {
    return PeerState::kGone;
  }
  const bool isSilent = silence >= aTiming.suspectAfter;
  return isSilent || !aSighting.connected ? PeerState::kSuspected
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

PeerView::PeerView(DataCentreName aOwn, std::vector<PeerStanding> aPeers)
  : own(std::move(aOwn))
  , peers(std::move(aPeers))
{
}

PeerState
PeerView::StateOf(const HostName& aHost) const
{
  const auto found = std::find_if(
    this->peers.begin(),
    this->peers.end(),
    [&aHost](const PeerStanding& aPeer) { return aPeer.host == aHost; });
  return found == this->peers.end() ? PeerState::kUnknown : found->state;
}

std::int64_t
PeerView::CountWithin(PeerState aState) const
{
  return std::count_if(
    this->peers.begin(), this->peers.end(), [&](const PeerStanding& aPeer) {
      return aPeer.dataCentre == this->own && aPeer.state == aState;
    });
}

std::int64_t
PeerView::CountBetween(PeerState aState) const
{
  return std::count_if(
    this->peers.begin(), this->peers.end(), [&](const PeerStanding& aPeer) {
      return aPeer.dataCentre != this->own && aPeer.state == aState;
    });
}

bool
PeerView::CutOff() const
{
  const bool isAlone = std::all_of(
    this->peers.begin(), this->peers.end(), [this](const PeerStanding& aPeer) {
      return aPeer.dataCentre == this->own;
    });
  return !isAlone && this->CountBetween(PeerState::kLive) == 0;
}

std::int64_t
PeerView::HighestRevision() const
{
  std::int64_t highest = 0;
  for (const PeerStanding& peer : this->peers) {
    highest = std::max(highest, peer.revision);
  }
  return highest;
}

PeerView
JudgePeers(const DataCentreName& aOwn,
           const std::vector<PeerSighting>& aSightings,
           Instant aNow)
{
  std::vector<PeerStanding> peers;
  peers.reserve(aSightings.size());
  for (const PeerSighting& sighting : aSightings) {
    const bool isWithin = sighting.dataCentre == aOwn;
    const PeerState state =
      Judge(sighting, isWithin ? kTimingWithin : kTimingBetween, aNow);
    peers.push_back(
      { sighting.host, sighting.dataCentre, state, sighting.revision });
  }
  return { aOwn, std::move(peers) };
}

}
