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
 * The links of one entry host to all others: one connection a pair, which the
 * host of the lower name dials, kept by heartbeats and dialled again with
 * backoff. All of it runs in one thread's io_context. The constructor bears the
 * constraint, because a listener is not complete yet where it has its links as
 * a member.
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

  /** Starts to accept and to dial. */
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

  /** Endpoints to dial while the fleet is not known yet. */
  void SetSeeds(const std::vector<Endpoint>& aSeeds)
  {
    for (const Endpoint& seed : aSeeds) {
      this->seeds.push_back({ seed, 0, 0, Instant() });
    }
  }

  /** The hosts that the settings in force name; the own one may be among them.
   */
  void SetPeers(const std::vector<EntryHost>& aHosts);

  /** Tells all peers at once that a revision is in force here. */
  void Announce(std::int64_t aRevision)
  {
    this->revision = aRevision;
    this->Broadcast(PeerHeartbeat{ aRevision });
  }

  /** False when there is no connection to that host. */
  bool Send(const HostName& aHost, const PeerMessage& aMessage)
  {
    const auto found = this->peers.find(aHost);
    return found != this->peers.end() &&
           this->SendTo(found->second, EncodePeerMessage(aMessage));
  }

  /** Gives the number of peers it was sent to. */
  std::size_t Broadcast(const PeerMessage& aMessage)
  {
    return this->BroadcastIf(aMessage, [](const PeerRecord&) { return true; });
  }
  std::size_t BroadcastTo(const DataCentreName& aDataCentre,
                          const PeerMessage& aMessage)
  {
    return this->BroadcastIf(aMessage, [&aDataCentre](const PeerRecord& aPeer) {
      return aPeer.observation.dataCentre == aDataCentre;
    });
  }

  /** Sends a request and waits for its reply; empty, with the reason, when none
   * came in time. */
  template<typename Reply, typename Request>
  boost::asio::awaitable<std::optional<Reply>> Ask(HostName aHost,
                                                   Request aRequest,
                                                   Milliseconds aTimeout,
                                                   Reason& aReason);

  std::vector<PeerObservation> Observations() const
  {
    std::vector<PeerObservation> observations;
    for (const auto& [name, peer] : this->peers) {
      observations.push_back(peer.observation);
    }
    return observations;
  }
  PeerView View(Instant aNow) const
  {
    return ClassifyPeers(this->self.DataCentre(), this->Observations(), aNow);
  }
  const PeerTraffic& Traffic() const { return this->traffic; }

  /** Tells all peers that the planned stop of this host began. */
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

  /** A connection before its hello, or the peer that said it. */
  struct Session
  {
    Instant opened;
    HostName peer;
  };

  static constexpr Milliseconds kTick{ 200 };
  static constexpr Milliseconds kHelloTimeout{ 3000 };
  /** A longer tick means that this process was paused: what arrived meanwhile
   * is read before anyone is called silent. */
  static constexpr Milliseconds kPaused{ 1000 };
  static constexpr BackoffBounds kRedial{};

  PeerSocket::Events MakeEvents();
  void Tick();
  void Watch(Instant aNow);
  void Dial(PeerRecord& aPeer, Instant aNow);
  void DialSeeds(Instant aNow);
  void Opened(PeerSocket::Id aId);
  void Received(PeerSocket::Id aId, const std::string& aBytes);
  bool Greet(PeerSocket::Id aId, const PeerMessage& aMessage);
  void Take(PeerRecord& aPeer, const PeerMessage& aMessage);
  void Closed(PeerSocket::Id aId, const std::string& aError);
  void Disconnected(PeerRecord& aPeer, const std::string& aError);
  bool SendTo(PeerRecord& aPeer, const std::string& aBytes);
  template<typename Predicate>
  std::size_t BroadcastIf(const PeerMessage& aMessage, Predicate aIsMeant);

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
  /** Ends with this object: a tick may be queued already by then. */
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}

#include "links/peer_links_inl.h"
