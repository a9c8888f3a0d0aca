#pragma once

#include "contracts/settings_text.h"
#include "core/names.h"

#include <concepts>
#include <cstdint>

namespace sardinecourse {

/** What the peer exchange needs of the daemon. All of it is called on the
 * control thread. */
template<typename Owner>
concept PeerOwner = requires(Owner& aOwner,
                             const HostName& aHost,
                             const MinionName& aMinion,
                             std::int64_t aNumber)
{
  {
    aOwner.SettingsInForce()
    } -> std::convertible_to<SettingsText>;
  /** A peer has this revision in force. */
  {
    aOwner.OnPeerRevision(aNumber)
    } -> std::same_as<void>;
  /** A peer saw that a minion takes no new work. */
  {
    aOwner.OnMinionLeaving(aMinion)
    } -> std::same_as<void>;
  /** What the peers use of the minions may have changed. */
  {
    aOwner.OnPeerLoads()
    } -> std::same_as<void>;
  /** Jobs of this data centre were admitted or cancelled elsewhere. */
  {
    aOwner.OnQueueChange()
    } -> std::same_as<void>;
  /** The holder aHost, at the term aNumber, asks this host not to take over. */
  {
    aOwner.Promise(aHost, aNumber)
    } -> std::same_as<bool>;
};

}
