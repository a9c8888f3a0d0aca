#pragma once

// Definitions of PeerExchange's member functions.

namespace sardinecourse {

template<typename Owner>
void
PeerExchange<Owner>::Adopt(const Fleet& aFleet, const MinionStates& aMinions)
{
  std::vector<EntryHost> all;
  for (const DataCentre& dataCentre : aFleet.DataCentres()) {
    const std::vector<EntryHost>& here = dataCentre.EntryHosts();
    all.insert(all.end(), here.begin(), here.end());
  }
  this->hosts.clear();
  for (const EntryHost& host : all) {
    this->hosts.emplace(host.Name(), host);
  }
  this->links.SetPeers(all);
  this->revision = aFleet.Revision();
  this->minions = aMinions;
  this->sentLoads.assign(this->minions.size(), 0);
  this->fullLoadsSent.clear();
  this->peerLoads = PeerLoads(this->revision);
}

template<typename Owner>
boost::asio::awaitable<std::optional<SettingsText>>
PeerExchange<Owner>::Ask(Reason& aReason)
{
  aReason = Reason(Step::kPeerLink, "", "no peer has settings");
  const std::int64_t own = this->owner->SettingsInForce().revision;
  std::vector<PeerObservation> observations = this->links.Observations();
  std::erase_if(observations, [own](const PeerObservation& aObservation) {
    return !aObservation.connected || aObservation.revision <= own;
  });
  std::sort(observations.begin(),
            observations.end(),
            [](const PeerObservation& aLeft, const PeerObservation& aRight) {
              return aLeft.revision > aRight.revision;
            });
  for (const PeerObservation& observation : observations) {
    const SettingsRequest request{ 0, own };
    std::optional<SettingsReply> reply =
      co_await this->links.template Ask<SettingsReply>(
        observation.host, request, kSettingsTimeout, aReason);
    if (reply && reply->revision > own) {
      co_return SettingsText{ reply->revision, std::move(reply->text) };
    }
  }
  co_return std::nullopt;
}

template<typename Owner>
boost::asio::awaitable<PromiseAnswer>
PeerExchange<Owner>::AskPromise(HostName aHost, std::int64_t aTerm)
{
  Reason reason;
  const PromiseRequest request{ 0, aTerm };
  const std::optional<PromiseReply> reply =
    co_await this->links.template Ask<PromiseReply>(
      aHost, request, kPromiseTimeout, reason);
  if (reply) {
    co_return reply->granted ? PromiseAnswer::kPromised
                             : PromiseAnswer::kDenied;
  }
  const auto host = this->hosts.find(aHost);
  if (host == this->hosts.end()) {
    co_return PromiseAnswer::kNoAnswer;
  }
  const Endpoint endpoint = host->second.Peers();
  const bool isRefused =
    co_await RefusesConnections(*this->context, endpoint, kPromiseTimeout);
  co_return isRefused ? PromiseAnswer::kRefusedConnection
                      : PromiseAnswer::kNoAnswer;
}

template<typename Owner>
std::vector<PeerStatus>
PeerExchange<Owner>::PeersInDataCentre() const
{
  std::vector<PeerStatus> peers = this->View().Peers();
  std::erase_if(peers, [this](const PeerStatus& aPeer) {
    return aPeer.dataCentre != this->self.DataCentre() ||
           aPeer.state == PeerState::kGone;
  });
  return peers;
}

template<typename Owner>
std::vector<std::optional<std::int32_t>>
PeerExchange<Owner>::PeersInFlight() const
{
  std::vector<HostName> peers;
  for (const PeerStatus& peer : this->PeersInDataCentre()) {
    peers.push_back(peer.host);
  }
  std::vector<std::optional<std::int32_t>> inFlight;
  for (std::size_t index = 0; index < this->minions.size(); ++index) {
    const auto sum = this->peerLoads.InFlight(peers, index);
    inFlight.push_back(sum ? std::optional(static_cast<std::int32_t>(*sum))
                           : std::nullopt);
  }
  return inFlight;
}

template<typename Owner>
std::int32_t
PeerExchange<Owner>::ServingHosts() const
{
  return static_cast<std::int32_t>(this->PeersInDataCentre().size()) + 1;
}

template<typename Owner>
void
PeerExchange<Owner>::OnPeerDown(const HostName& aPeer)
{
  this->fullLoadsSent.erase(aPeer);
  this->peerLoads = this->peerLoads.WithoutPeer(aPeer);
  this->owner->OnPeerLoads();
}

template<typename Owner>
void
PeerExchange<Owner>::OnPeerMessage(const HostName& aPeer,
                                   const PeerMessage& aMessage)
{
  if (const auto* request = std::get_if<SettingsRequest>(&aMessage)) {
    const SettingsText& settings = this->owner->SettingsInForce();
    const bool isHigher = settings.revision > request->above;
    this->links.Send(aPeer,
                     SettingsReply{ request->request,
                                    settings.revision,
                                    isHigher ? settings.yaml : "" });
  } else if (const auto* loads = std::get_if<MinionLoads>(&aMessage)) {
    this->peerLoads = this->peerLoads.WithReport(aPeer, *loads);
    this->owner->OnPeerLoads();
  } else if (const auto* notice = std::get_if<MinionLeaving>(&aMessage)) {
    this->reportedLeaving.insert(notice->minion);
    LogPeer("minion_leaving_heard", aPeer, "minion=" + notice->minion.Text());
    this->owner->OnMinionLeaving(notice->minion);
  } else if (const auto* promiseRequest =
               std::get_if<PromiseRequest>(&aMessage)) {
    const bool isGranted = this->owner->Promise(aPeer, promiseRequest->term);
    this->links.Send(aPeer, PromiseReply{ promiseRequest->request, isGranted });
  } else if (std::holds_alternative<QueueNotice>(aMessage)) {
    this->owner->OnQueueChange();
  } else if (std::holds_alternative<HostLeaving>(aMessage)) {
    this->owner->OnPeerLoads();
  }
}

template<typename Owner>
void
PeerExchange<Owner>::Tick()
{
  this->LogView();
  this->SendLeavingMinions();
  if (++this->ticks % kTicksPerLoads == 0) {
    this->SendLoads();
  }
  this->timer.expires_after(kTick);
  this->timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

template<typename Owner>
void
PeerExchange<Owner>::LogView()
{
  const PeerView view = this->View();
  std::string text = "cut_off=" + std::to_string(view.CutOff() ? 1 : 0);
  constexpr std::array kStates{ PeerState::kLive,
                                PeerState::kSuspected,
                                PeerState::kGone,
                                PeerState::kUnknown };
  for (const PeerState state : kStates) {
    text += " " + std::string(PeerStateName(state)) + "=" +
            std::to_string(view.CountInDataCentre(state)) + "+" +
            std::to_string(view.CountInOtherDataCentres(state));
  }
  if (text != this->loggedView) {
    LogPeer("partition_view", this->self.Name(), text);
    this->loggedView = text;
  }
}

/** The request path only marks a minion as leaving, because it must not wait
 * for this thread. This finds the new marks and reports them to the peers. */
template<typename Owner>
void
PeerExchange<Owner>::SendLeavingMinions()
{
  for (const std::shared_ptr<MinionState>& minion : this->minions) {
    const MinionName& name = minion->Upstream().Name();
    if (!minion->Leaving()) {
      this->reportedLeaving.erase(name);
    } else if (this->reportedLeaving.insert(name).second) {
      const std::size_t recipients =
        this->links.Broadcast(MinionLeaving{ name });
      LogPeer("minion_leaving_told",
              this->self.Name(),
              "minion=" + name.Text() + " peers=" + std::to_string(recipients));
    }
  }
}

template<typename Owner>
void
PeerExchange<Owner>::SendLoads()
{
  std::vector<std::int64_t> current;
  for (const std::shared_ptr<MinionState>& minion : this->minions) {
    current.push_back(minion->InFlight());
  }
  const std::vector<MinionLoad> changed =
    ChangedLoads(this->sentLoads, current, kMaxLoads);
  for (const MinionLoad& load : changed) {
    this->sentLoads[static_cast<std::size_t>(load.index)] = load.inFlight;
  }
  const MinionLoads change{ this->revision, false, changed };
  const std::vector<std::int64_t> zeros(current.size());
  const MinionLoads full{
    this->revision, true, ChangedLoads(zeros, this->sentLoads, current.size())
  };
  for (const PeerStatus& peer : this->PeersInDataCentre()) {
    if (peer.state != PeerState::kLive || peer.revision != this->revision) {
      continue;
    }
    std::int64_t& sentRevision = this->fullLoadsSent[peer.host];
    if (sentRevision != this->revision) {
      sentRevision = this->links.Send(peer.host, full) ? this->revision : 0;
    } else if (!changed.empty()) {
      this->links.Send(peer.host, change);
    }
  }
}

}
