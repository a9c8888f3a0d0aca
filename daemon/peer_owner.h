#pragma once

#include "contracts/settings_text.h"
#include "core/names.h"

#include <concepts>
#include <cstdint>

namespace sardinecourse {

/** The interface that PeerExchange requires of its owner. All functions are
 * called on the control thread. */
template<typename Owner>
concept PeerOwner = requires(Owner& aOwner,
                             const HostName& aHost,
                             const MinionName& aMinion,
                             std::int64_t aNumber)
{
  {
    aOwner.SettingsInForce()
    } -> std::convertible_to<SettingsText>;
  /** A peer reported that this revision is in force there. */
  {
    aOwner.OnPeerRevision(aNumber)
    } -> std::same_as<void>;
  /** A peer reported that a minion takes no new work. */
  {
    aOwner.OnMinionLeaving(aMinion)
    } -> std::same_as<void>;
  /** The peers' requests in flight, or the set of serving peers, may have
   * changed. */
  {
    aOwner.OnPeerLoads()
    } -> std::same_as<void>;
  /** Jobs of this data centre were admitted or cancelled elsewhere. */
  {
    aOwner.OnQueueChange()
    } -> std::same_as<void>;
  /** The holder aHost, at the term aNumber, asks for a promise not to take
   * over; true when this host promises it. */
  {
    aOwner.Promise(aHost, aNumber)
    } -> std::same_as<bool>;
};

}
