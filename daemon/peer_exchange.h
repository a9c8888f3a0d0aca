#pragma once

#include "contracts/promise_answer.h"
#include "contracts/settings_text.h"
#include "daemon/peer_owner.h"
#include "links/peer_links.h"
#include "links/peer_probe.h"
#include "machines/host_settings.h"
#include "machines/minion_state.h"
#include "zones/fleet.h"
#include "zones/load_changes.h"
#include "zones/peer_loads.h"

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>

namespace sardinecourse {

/**
 * Exchanges settings, requests in flight, leaving minions, promises and queue
 * changes with the other entry hosts. It runs on the control thread. The
 * constructor checks the concept, because the owning daemon is still incomplete
 * where it declares this as a member.
 */
template<typename Owner>
class PeerExchange
{
public:
  using MinionStates = std::vector<std::shared_ptr<MinionState>>;

  PeerExchange(boost::asio::io_context& aContext,
               const HostSettings& aSettings,
               Owner& aOwner)
    : context(&aContext)
    , self(aSettings.Host())
    , owner(&aOwner)
    , links(aContext, aSettings.Host(), NewIncarnation(), *this)
    , timer(aContext)
  {
    static_assert(PeerOwner<Owner>);
    this->links.SetSeeds(aSettings.Peers());
  }

  /** Listens for peers and starts the periodic messages; false, with the
   * reason, when it cannot listen. */
  bool Start(Reason& aReason)
  {
    if (!this->links.Start(aReason)) {
      return false;
    }
    this->Tick();
    return true;
  }

  /** Applies the peers of a revision of the settings. aMinions are the minions
   * of this data centre, in the order of the settings. */
  void Adopt(const Fleet& aFleet, const MinionStates& aMinions);

  // Used by the settings manager (SettingsPeers).
  void Announce(std::int64_t aRevision) { this->links.Announce(aRevision); }
  /** Newer settings from a connected peer, the highest revision first; empty,
   * with the reason, when no peer sends any. */
  boost::asio::awaitable<std::optional<SettingsText>> Ask(Reason& aReason);

  // Used by the lease manager (PromisePeers).
  /** Asks a host to promise not to take over for the length of a lease. */
  boost::asio::awaitable<PromiseAnswer> AskPromise(HostName aHost,
                                                   std::int64_t aTerm);

  /** Notifies the hosts of a data centre that its queue changed. */
  void NotifyQueueChange(const DataCentreName& aDataCentre)
  {
    this->links.BroadcastTo(aDataCentre, QueueNotice());
  }

  /** Requests that the other hosts of this data centre have in flight at each
   * of its minions, in the order given to Adopt(); empty where not known. */
  std::vector<std::optional<std::int32_t>> PeersInFlight() const;
  /** Number of entry hosts of this data centre that may be serving, including
   * this one. */
  std::int32_t ServingHosts() const;

  PeerView View() const { return this->links.View(Clock::now()); }
  const PeerTraffic& Traffic() const { return this->links.Traffic(); }

  /** Notifies the peers that this host is stopping. */
  void AnnounceLeaving() { this->links.AnnounceLeaving(); }
  void Stop()
  {
    this->timer.cancel();
    this->links.Stop();
  }

  // Called by the links (PeerListener).
  void OnPeerUp(const HostName& aPeer) { this->fullLoadsSent.erase(aPeer); }
  void OnPeerDown(const HostName& aPeer);
  void OnPeerRevision(const HostName& /*aPeer*/, std::int64_t aRevision)
  {
    this->owner->OnPeerRevision(aRevision);
  }
  void OnPeerMessage(const HostName& aPeer, const PeerMessage& aMessage);

private:
  static constexpr Milliseconds kTick{ 200 };
  /** Loads are sent every this many ticks. */
  static constexpr int kTicksPerLoads = 5;
  /** Maximum number of loads in one message, which bounds the traffic of a
   * busy host. */
  static constexpr std::size_t kMaxLoads = 16;
  static constexpr Milliseconds kSettingsTimeout{ 2000 };
  static constexpr Milliseconds kPromiseTimeout{ 1000 };

  static std::int64_t NewIncarnation()
  {
    return static_cast<std::int64_t>(std::random_device{}());
  }

  void Tick();
  void LogView();
  void SendLeavingMinions();
  void SendLoads();
  std::vector<PeerStatus> PeersInDataCentre() const;

  boost::asio::io_context* context;
  EntryHost self;
  Owner* owner;
  PeerLinks<PeerExchange> links;
  boost::asio::steady_timer timer;
  int ticks = 0;
  std::string loggedView;
  std::int64_t revision = 0;
  std::map<HostName, EntryHost> hosts;
  MinionStates minions;
  /** Leaving minions that were reported to the peers or by one of them. */
  std::set<MinionName> reportedLeaving;
  std::vector<std::int64_t> sentLoads;
  /** The revision for which each peer was last sent all loads; zero after a
   * failed attempt. */
  std::map<HostName, std::int64_t> fullLoadsSent;
  PeerLoads peerLoads;
};

}

#include "daemon/peer_exchange_inl.h"
