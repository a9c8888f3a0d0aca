#pragma once

#include "codecs/peer_cbor.h"
#include "core/backoff.h"
#include "core/endpoint.h"
#include "core/reason.h"
#include "links/peer_listener.h"
#include "links/peer_log.h"
#include "links/peer_record.h"
#include "links/peer_replies.h"
#include "links/peer_socket.h"
#include "links/peer_traffic.h"
#include "zones/peer_timing.h"
#include "zones/peer_view.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sardinecourse {

/**
 * Connections of one entry host to all other entry hosts: one per pair, dialled
 * by the host whose name sorts first, monitored by heartbeats and redialled
 * with backoff. Runs entirely in one thread's io_context. The constructor
 * checks the PeerListener constraint, because a listener that has PeerLinks as
 * a member is an incomplete type where the template is named.
 */
template<typename Listener>
class PeerLinks
{
public:
  PeerLinks(boost::asio::io_context& aContext,
            EntryHost aSelf,
            std::int64_t aIncarnation,
            Listener& aListener)
    : self(std::move(aSelf))
    , incarnation(aIncarnation)
    , listener(&aListener)
    , socket(aContext, this->MakeEvents())
    , replies(aContext)
    , timer(aContext)
    , random(std::random_device{}())
  {
    static_assert(PeerListener<Listener>);
  }

  /** Starts to accept and to dial connections. False, with the reason, if the
   * endpoint cannot be bound. */
  bool Start(Reason& aReason)
  {
    std::string error;
    const Endpoint& endpoint = this->self.Peers();
    if (!this->socket.Listen(endpoint.Ip(), endpoint.Port(), error)) {
      aReason =
        Reason(Step::kStartup, endpoint.Text(), "cannot listen: " + error);
      return false;
    }
    this->lastTick = Clock::now();
    this->Tick();
    return true;
  }

  /** Endpoints to dial until a call of SetPeers() after which any peer is
   * known. */
  void SetSeeds(const std::vector<Endpoint>& aSeeds)
  {
    for (const Endpoint& seed : aSeeds) {
      this->seeds.push_back({ seed, 0, 0, Instant() });
    }
  }

  /** Replaces the list of peers by the entry hosts of the settings in force;
   * this host is skipped. Connections to hosts that are no longer listed are
   * dropped. */
  void SetPeers(const std::vector<EntryHost>& aHosts);

  /** Sets the revision of the settings in force here and sends it to all peers
   * at once. */
  void Announce(std::int64_t aRevision)
  {
    this->revision = aRevision;
    this->Broadcast(PeerHeartbeat{ aRevision });
  }

  /** Queues a message; false if there is no connection to that host or its
   * queue is full. */
  bool Send(const HostName& aHost, const PeerMessage& aMessage)
  {
    const auto found = this->peers.find(aHost);
    return found != this->peers.end() &&
           this->SendTo(found->second, EncodePeerMessage(aMessage));
  }

  /** Sends a message to all connected peers; returns the number of peers for
   * which it was queued. */
  std::size_t Broadcast(const PeerMessage& aMessage)
  {
    return this->BroadcastIf(aMessage, [](const PeerRecord&) { return true; });
  }
  /** As Broadcast(), but only to the peers of one data centre. */
  std::size_t BroadcastTo(const DataCentreName& aDataCentre,
                          const PeerMessage& aMessage)
  {
    return this->BroadcastIf(aMessage, [&aDataCentre](const PeerRecord& aPeer) {
      return aPeer.observation.dataCentre == aDataCentre;
    });
  }

  /** Sends a request and waits for its reply; empty, with the reason, if the
   * peer is not connected or no reply arrived in time. */
  template<typename Reply, typename Request>
  boost::asio::awaitable<std::optional<Reply>> Ask(HostName aHost,
                                                   Request aRequest,
                                                   Milliseconds aTimeout,
                                                   Reason& aReason);

  /** Current observations of all peers, ordered by name. */
  std::vector<PeerObservation> Observations() const
  {
    std::vector<PeerObservation> observations;
    for (const auto& [name, peer] : this->peers) {
      observations.push_back(peer.observation);
    }
    return observations;
  }
  /** Classifies all peers as of aNow. */
  PeerView View(Instant aNow) const
  {
    return ClassifyPeers(this->self.DataCentre(), this->Observations(), aNow);
  }
  const PeerTraffic& Traffic() const { return this->traffic; }

  /** Announces to all peers that this host has begun its planned stop. */
  void AnnounceLeaving() { this->Broadcast(HostLeaving{ this->incarnation }); }

  /** Closes all connections; nothing is dialled or accepted afterwards. */
  void Stop()
  {
    this->stopped = true;
    this->timer.cancel();
    this->socket.Stop();
  }

private:
  struct Seed
  {
    Endpoint endpoint;
    PeerSocket::Id connection = 0;
    std::int32_t failures = 0;
    Instant nextDial;
  };

  /** A connection; its peer is empty until the hello has arrived. */
  struct Session
  {
    Instant opened;
    HostName peer;
  };

  static constexpr Milliseconds kTick{ 200 };
  static constexpr Milliseconds kHelloTimeout{ 3000 };
  /** A longer interval between ticks means that this process was paused: the
   * messages that arrived during the pause are read before a peer is treated as
   * unresponsive. */
  static constexpr Milliseconds kPauseThreshold{ 1000 };
  static constexpr BackoffBounds kRedialBackoff{};

  PeerSocket::Events MakeEvents();
  void Tick();
  void CheckConnections(Instant aNow);
  void Dial(PeerRecord& aPeer, Instant aNow);
  void DialSeeds(Instant aNow);
  void OnOpen(PeerSocket::Id aId);
  void OnMessage(PeerSocket::Id aId, const std::string& aBytes);
  bool HandleHello(PeerSocket::Id aId, const PeerMessage& aMessage);
  void HandleMessage(PeerRecord& aPeer, const PeerMessage& aMessage);
  void OnClose(PeerSocket::Id aId, const std::string& aError);
  void HandleDisconnect(PeerRecord& aPeer, const std::string& aError);
  bool SendTo(PeerRecord& aPeer, const std::string& aBytes);
  template<typename Predicate>
  std::size_t BroadcastIf(const PeerMessage& aMessage, Predicate aIsRecipient);

  bool IsInDataCentre(const PeerRecord& aPeer) const
  {
    return aPeer.observation.dataCentre == this->self.DataCentre();
  }
  const PeerTiming& TimingOf(const PeerRecord& aPeer) const
  {
    return this->IsInDataCentre(aPeer) ? kTimingInDataCentre
                                       : kTimingAcrossDataCentres;
  }

  EntryHost self;
  std::int64_t incarnation;
  Listener* listener;
  PeerSocket socket;
  PeerReplies replies;
  boost::asio::steady_timer timer;
  std::mt19937_64 random;
  std::map<HostName, PeerRecord> peers;
  std::unordered_map<PeerSocket::Id, Session> sessions;
  std::vector<Seed> seeds;
  std::int64_t revision = 0;
  PeerTraffic traffic;
  Instant lastTick;
  bool stopped = false;
  /** Expires with this object, so that a tick that is already queued is
   * skipped. */
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}

#include "links/peer_links_inl.h"
