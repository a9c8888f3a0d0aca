#pragma once

// Member functions of the PeerLinks template.

namespace sardinecourse {

template<typename Listener>
void
PeerLinks<Listener>::SetPeers(const std::vector<EntryHost>& aHosts)
{
  for (auto& [name, peer] : this->peers) {
    peer.isListed = false;
  }
  for (const EntryHost& host : aHosts) {
    if (host.Name() == this->self.Name()) {
      continue;
    }
    PeerRecord& peer = this->peers[host.Name()];
    peer.isListed = true;
    peer.host = host;
    peer.observation.host = host.Name();
    peer.observation.dataCentre = host.DataCentre();
  }
  std::erase_if(this->peers, [this](const auto& aEntry) {
    const PeerRecord& peer = aEntry.second;
    if (!peer.isListed && peer.connection != 0) {
      this->socket.Drop(peer.connection);
    }
    return !peer.isListed && peer.connection == 0;
  });
  if (this->peers.empty()) {
    return;
  }
  this->seeds.clear();
}

template<typename Listener>
template<typename Reply, typename Request>
boost::asio::awaitable<std::optional<Reply>>
PeerLinks<Listener>::Ask(HostName aHost,
                         Request aRequest,
                         Milliseconds aTimeout,
                         Reason& aReason)
{
  aRequest.request = this->replies.NextRequest();
  if (!this->Send(aHost, aRequest)) {
    aReason = Reason(Step::kPeerLink, aHost.Text(), "not connected");
    co_return std::nullopt;
  }
  const std::optional<PeerMessage> message =
    co_await this->replies.Wait(aRequest.request, aHost, aTimeout);
  const Reply* reply = message ? std::get_if<Reply>(&*message) : nullptr;
  if (reply == nullptr) {
    aReason = Reason(Step::kPeerLink, aHost.Text(), "no reply in time");
    co_return std::nullopt;
  }
  co_return *reply;
}

template<typename Listener>
PeerSocket::Events
PeerLinks<Listener>::MakeEvents()
{
  PeerSocket::Events events;
  events.onOpen = [this](PeerSocket::Id aId) { this->OnOpen(aId); };
  events.onMessage = [this](PeerSocket::Id aId, const std::string& aBytes) {
    this->OnMessage(aId, aBytes);
  };
  events.onClose = [this](PeerSocket::Id aId, const std::string& aError) {
    this->OnClose(aId, aError);
  };
  return events;
}

template<typename Listener>
void
PeerLinks<Listener>::Tick()
{
  const Instant now = Clock::now();
  const bool wasPaused = now - this->lastTick > kPauseThreshold;
  this->lastTick = now;
  if (!wasPaused) {
    this->CheckConnections(now);
  }
  this->DialSeeds(now);
  this->timer.expires_after(kTick);
  const std::weak_ptr<int> weakAlive = this->alive;
  this->timer.async_wait(
    [this, weakAlive](const boost::system::error_code& aError) {
      if (!weakAlive.expired() && !aError && !this->stopped) {
        this->Tick();
      }
    });
}

template<typename Listener>
void
PeerLinks<Listener>::CheckConnections(Instant aNow)
{
  for (auto& [name, peer] : this->peers) {
    const PeerTiming& timing = this->TimingOf(peer);
    if (peer.connection == 0) {
      this->Dial(peer, aNow);
    } else if (aNow - *peer.observation.lastReceived >= timing.suspectAfter) {
      LogPeer("peer_silent", name, "replacing the connection");
      this->socket.Drop(peer.connection);
    } else if (aNow - peer.lastSent >= timing.heartbeat) {
      this->SendTo(peer, EncodePeerMessage(PeerHeartbeat{ this->revision }));
    }
  }
  for (const auto& [id, session] : this->sessions) {
    if (session.peer.Empty() && aNow - session.opened >= kHelloTimeout) {
      this->socket.Drop(id);
    }
  }
}

template<typename Listener>
void
PeerLinks<Listener>::Dial(PeerRecord& aPeer, Instant aNow)
{
  const bool isDialler = this->self.Name() < aPeer.host.Name();
  if (!aPeer.isListed || !isDialler || aPeer.dialling != 0 ||
      aNow < aPeer.nextDial) {
    return;
  }
  const Endpoint& endpoint = aPeer.host.Peers();
  aPeer.dialling = this->socket.Connect(endpoint.Ip(), endpoint.Port());
}

template<typename Listener>
void
PeerLinks<Listener>::DialSeeds(Instant aNow)
{
  for (Seed& seed : this->seeds) {
    const bool isSelf = seed.endpoint == this->self.Peers();
    if (!isSelf && seed.connection == 0 && aNow >= seed.nextDial) {
      seed.connection =
        this->socket.Connect(seed.endpoint.Ip(), seed.endpoint.Port());
    }
  }
}

template<typename Listener>
void
PeerLinks<Listener>::OnOpen(PeerSocket::Id aId)
{
  this->sessions[aId] = { Clock::now(), HostName() };
  const PeerHello hello{ this->self.Name(),
                         this->self.DataCentre(),
                         this->incarnation,
                         this->revision };
  const std::string bytes = EncodePeerMessage(hello);
  this->traffic.sentMessages += 1;
  this->traffic.sentBytes += bytes.size();
  this->socket.Send(aId, bytes);
}

template<typename Listener>
void
PeerLinks<Listener>::OnMessage(PeerSocket::Id aId, const std::string& aBytes)
{
  this->traffic.receivedMessages += 1;
  this->traffic.receivedBytes += aBytes.size();
  const auto session = this->sessions.find(aId);
  if (session == this->sessions.end()) {
    return;
  }
  const HostName name = session->second.peer;
  Reason reason;
  const std::optional<PeerMessage> message = DecodePeerMessage(aBytes, reason);
  if (!message) {
    LogPeer("peer_refused", name, reason.Message());
    this->socket.Drop(aId);
    return;
  }
  if (name.Empty()) {
    if (!this->HandleHello(aId, *message)) {
      this->socket.Drop(aId);
    }
    return;
  }
  const auto peer = this->peers.find(name);
  if (peer != this->peers.end() && peer->second.connection == aId) {
    this->HandleMessage(peer->second, *message);
  }
}

/** Handles the first message of a connection; false if the connection must be
 * dropped. */
template<typename Listener>
bool
PeerLinks<Listener>::HandleHello(PeerSocket::Id aId,
                                 const PeerMessage& aMessage)
{
  const auto* hello = std::get_if<PeerHello>(&aMessage);
  if (hello == nullptr || hello->host == this->self.Name()) {
    LogPeer("peer_refused",
            hello == nullptr ? HostName() : hello->host,
            hello == nullptr ? "the first message is not a hello"
                             : "it has the name of this host");
    return false;
  }
  PeerRecord& peer = this->peers[hello->host];
  if (peer.isListed && peer.host.DataCentre() != hello->dataCentre) {
    LogPeer(
      "peer_refused", hello->host, "its data centre differs from the settings");
    return false;
  }
  if (peer.connection != 0) {
    // The newest connection replaces the previous one: the peer opens a new one
    // only after it has given up the previous one.
    const PeerSocket::Id previous = std::exchange(peer.connection, 0);
    this->sessions.erase(previous);
    this->socket.Drop(previous);
  }
  this->sessions[aId].peer = hello->host;
  peer.connection = aId;
  peer.failures = 0;
  peer.incarnation = hello->incarnation;
  peer.observation.host = hello->host;
  peer.observation.dataCentre = hello->dataCentre;
  peer.observation.connected = true;
  peer.observation.left = false;
  peer.observation.lastReceived = Clock::now();
  peer.observation.revision = hello->revision;
  LogPeer("peer_up",
          hello->host,
          "data_centre=" + hello->dataCentre.Text() +
            " revision=" + std::to_string(hello->revision));
  this->listener->OnPeerUp(hello->host);
  this->listener->OnPeerRevision(hello->host, hello->revision);
  return true;
}

template<typename Listener>
void
PeerLinks<Listener>::HandleMessage(PeerRecord& aPeer,
                                   const PeerMessage& aMessage)
{
  const HostName name = aPeer.observation.host;
  aPeer.observation.lastReceived = Clock::now();
  if (const auto* heartbeat = std::get_if<PeerHeartbeat>(&aMessage)) {
    aPeer.observation.revision = heartbeat->revision;
    this->listener->OnPeerRevision(name, heartbeat->revision);
    return;
  }
  if (const auto* reply = std::get_if<SettingsReply>(&aMessage)) {
    this->replies.Deliver(reply->request, name, aMessage);
    return;
  }
  if (const auto* reply = std::get_if<PromiseReply>(&aMessage)) {
    this->replies.Deliver(reply->request, name, aMessage);
    return;
  }
  if (std::holds_alternative<HostLeaving>(aMessage)) {
    aPeer.observation.left = true;
    LogPeer("peer_leaving", name, "it announced a planned stop");
  }
  this->listener->OnPeerMessage(name, aMessage);
}

template<typename Listener>
void
PeerLinks<Listener>::OnClose(PeerSocket::Id aId, const std::string& aError)
{
  this->sessions.erase(aId);
  const Instant now = Clock::now();
  for (Seed& seed : this->seeds) {
    if (seed.connection == aId) {
      seed.connection = 0;
      seed.nextDial =
        now + Backoff(kRedialBackoff, ++seed.failures, this->random());
    }
  }
  for (auto& [name, peer] : this->peers) {
    if (peer.dialling == aId) {
      peer.dialling = 0;
      peer.nextDial =
        now + Backoff(kRedialBackoff, ++peer.failures, this->random());
    }
    if (peer.connection == aId) {
      this->HandleDisconnect(peer, aError);
      break;
    }
  }
}

template<typename Listener>
void
PeerLinks<Listener>::HandleDisconnect(PeerRecord& aPeer,
                                      const std::string& aError)
{
  const HostName name = aPeer.observation.host;
  aPeer.connection = 0;
  aPeer.observation.connected = false;
  this->replies.Abandon(name);
  LogPeer("peer_down", name, "error=\"" + aError + "\"");
  if (!aPeer.isListed) {
    this->peers.erase(name);
  }
  this->listener->OnPeerDown(name);
}

template<typename Listener>
bool
PeerLinks<Listener>::SendTo(PeerRecord& aPeer, const std::string& aBytes)
{
  if (aPeer.connection == 0 || !this->socket.Send(aPeer.connection, aBytes)) {
    return false;
  }
  aPeer.lastSent = Clock::now();
  this->traffic.sentMessages += 1;
  this->traffic.sentBytes += aBytes.size();
  return true;
}

template<typename Listener>
template<typename Predicate>
std::size_t
PeerLinks<Listener>::BroadcastIf(const PeerMessage& aMessage,
                                 Predicate aIsRecipient)
{
  const std::string bytes = EncodePeerMessage(aMessage);
  std::size_t sent = 0;
  for (auto& [name, peer] : this->peers) {
    if (aIsRecipient(peer) && this->SendTo(peer, bytes)) {
      ++sent;
    }
  }
  return sent;
}

}
