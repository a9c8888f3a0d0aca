#pragma once

// Bodies of PeerExchange, which is a template.

namespace sardinecourse {

template<typename Owner>
void
PeerExchange<Owner>::Adopt(const Fleet& aFleet, const Slots& aMinions)
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
  this->loadsTold.assign(this->minions.size(), 0);
  this->wholeTold.clear();
  this->peerLoads = PeerLoads(this->revision);
}

template<typename Owner>
boost::asio::awaitable<std::optional<SettingsText>>
PeerExchange<Owner>::Ask(Reason& aReason)
{
  aReason = Reason(Step::kPeerLink, "", "no peer has settings");
  const std::int64_t own = this->owner->SettingsInForce().revision;
  std::vector<PeerSighting> sightings = this->links.Sightings();
  std::erase_if(sightings, [own](const PeerSighting& aSighting) {
    return !aSighting.connected || aSighting.revision <= own;
  });
  std::sort(sightings.begin(),
            sightings.end(),
            [](const PeerSighting& aLeft, const PeerSighting& aRight) {
              return aLeft.revision > aRight.revision;
            });
  for (const PeerSighting& sighting : sightings) {
    const SettingsRequest request{ 0, own };
    std::optional<SettingsReply> reply =
      co_await this->links.template Ask<SettingsReply>(
        sighting.host, request, kSettingsTimeout, aReason);
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
    co_return PromiseAnswer::kSilent;
  }
  const Endpoint endpoint = host->second.Peers();
  const bool isRefused =
    co_await RefusesConnections(*this->context, endpoint, kPromiseTimeout);
  co_return isRefused ? PromiseAnswer::kRefusedConnection
                      : PromiseAnswer::kSilent;
}

template<typename Owner>
std::vector<PeerStanding>
PeerExchange<Owner>::PeersWithin() const
{
  std::vector<PeerStanding> within = this->View().Peers();
  std::erase_if(within, [this](const PeerStanding& aPeer) {
    return aPeer.dataCentre != this->self.DataCentre() ||
           aPeer.state == PeerState::kGone;
  });
  return within;
}

template<typename Owner>
std::vector<std::optional<std::int32_t>>
PeerExchange<Owner>::PeersInFlight() const
{
  std::vector<HostName> peers;
  for (const PeerStanding& peer : this->PeersWithin()) {
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
  return static_cast<std::int32_t>(this->PeersWithin().size()) + 1;
}

template<typename Owner>
void
PeerExchange<Owner>::PeerDown(const HostName& aPeer)
{
  this->wholeTold.erase(aPeer);
  this->peerLoads = this->peerLoads.Forgot(aPeer);
  this->owner->HeardLoads();
}

template<typename Owner>
void
PeerExchange<Owner>::Receive(const HostName& aPeer, const PeerMessage& aMessage)
{
  if (const auto* request = std::get_if<SettingsRequest>(&aMessage)) {
    const SettingsText& settings = this->owner->SettingsInForce();
    const bool isHigher = settings.revision > request->above;
    this->links.Send(aPeer,
                     SettingsReply{ request->request,
                                    settings.revision,
                                    isHigher ? settings.yaml : "" });
  } else if (const auto* loads = std::get_if<MinionLoads>(&aMessage)) {
    this->peerLoads = this->peerLoads.Told(aPeer, *loads);
    this->owner->HeardLoads();
  } else if (const auto* sign = std::get_if<MinionLeaving>(&aMessage)) {
    this->leaving.insert(sign->minion);
    LogPeer("minion_leaving_heard", aPeer, "minion=" + sign->minion.Text());
    this->owner->HeardLeaving(sign->minion);
  } else if (const auto* question = std::get_if<PromiseRequest>(&aMessage)) {
    const bool isGranted = this->owner->Promise(aPeer, question->term);
    this->links.Send(aPeer, PromiseReply{ question->request, isGranted });
  } else if (std::holds_alternative<QueueNotice>(aMessage)) {
    this->owner->HeardQueueChange();
  } else if (std::holds_alternative<HostLeaving>(aMessage)) {
    this->owner->HeardLoads();
  }
}

template<typename Owner>
void
PeerExchange<Owner>::Tick()
{
  this->LogView();
  this->TellLeaving();
  if (++this->ticks % kTicksPerLoads == 0) {
    this->TellLoads();
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
            std::to_string(view.CountWithin(state)) + "+" +
            std::to_string(view.CountBetween(state));
  }
  if (text != this->viewLogged) {
    LogPeer("partition_view", this->self.Name(), text);
    this->viewLogged = text;
  }
}

/** The request path only marks the slot, because it must not wait for this
 * thread; the marks are found here. */
template<typename Owner>
void
PeerExchange<Owner>::TellLeaving()
{
  for (const std::shared_ptr<MinionSlot>& slot : this->minions) {
    const MinionName& name = slot->Upstream().Name();
    if (!slot->Leaving()) {
      this->leaving.erase(name);
    } else if (this->leaving.insert(name).second) {
      const std::size_t told = this->links.Broadcast(MinionLeaving{ name });
      LogPeer("minion_leaving_told",
              this->self.Name(),
              "minion=" + name.Text() + " peers=" + std::to_string(told));
    }
  }
}

template<typename Owner>
void
PeerExchange<Owner>::TellLoads()
{
  std::vector<std::int64_t> now;
  for (const std::shared_ptr<MinionSlot>& slot : this->minions) {
    now.push_back(slot->InFlight());
  }
  const std::vector<MinionLoad> changed =
    ChangedLoads(this->loadsTold, now, kMostLoads);
  for (const MinionLoad& load : changed) {
    this->loadsTold[static_cast<std::size_t>(load.index)] = load.inFlight;
  }
  const MinionLoads change{ this->revision, false, changed };
  const std::vector<std::int64_t> nothing(now.size());
  const MinionLoads whole{ this->revision,
                           true,
                           ChangedLoads(nothing, this->loadsTold, now.size()) };
  for (const PeerStanding& peer : this->PeersWithin()) {
    if (peer.state != PeerState::kLive || peer.revision != this->revision) {
      continue;
    }
    std::int64_t& told = this->wholeTold[peer.host];
    if (told != this->revision) {
      told = this->links.Send(peer.host, whole) ? this->revision : 0;
    } else if (!changed.empty()) {
      this->links.Send(peer.host, change);
    }
  }
}

}
