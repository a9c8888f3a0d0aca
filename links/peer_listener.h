#pragma once

#include "contracts/peer_message.h"
#include "core/names.h"

#include <concepts>
#include <cstdint>

namespace sardinecourse {

/**
 * Callbacks of PeerLinks, called in the thread of its io_context. OnPeerUp() is
 * called for each hello and OnPeerDown() when a connection has ended;
 * OnPeerRevision() is called for each hello and heartbeat. OnPeerMessage()
 * gets all other messages except replies, which PeerLinks matches to their
 * requests.
 */
template<typename Listener>
concept PeerListener = requires(Listener& aListener,
                                const HostName& aPeer,
                                const PeerMessage& aMessage,
                                std::int64_t aRevision)
{
  {
    aListener.OnPeerUp(aPeer)
    } -> std::same_as<void>;
  {
    aListener.OnPeerDown(aPeer)
    } -> std::same_as<void>;
  {
    aListener.OnPeerRevision(aPeer, aRevision)
    } -> std::same_as<void>;
  {
    aListener.OnPeerMessage(aPeer, aMessage)
    } -> std::same_as<void>;
};

}
