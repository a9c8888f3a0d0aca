#pragma once

#include "contracts/peer_message.h"
#include "core/names.h"

#include <concepts>
#include <cstdint>

namespace sardinecourse {

/**
 * Callbacks of PeerLinks, called in the thread of its io_context. PeerUp() is
 * called for each hello and PeerDown() when a connection has ended;
 * PeerRevision() is called for each hello and heartbeat. Receive() gets all
 * other messages except replies, which PeerLinks matches to their requests.
 */
template<typename Listener>
concept PeerListener = requires(Listener& aListener,
                                const HostName& aPeer,
                                const PeerMessage& aMessage,
                                std::int64_t aRevision)
{
  {
    aListener.PeerUp(aPeer)
    } -> std::same_as<void>;
  {
    aListener.PeerDown(aPeer)
    } -> std::same_as<void>;
  {
    aListener.PeerRevision(aPeer, aRevision)
    } -> std::same_as<void>;
  {
    aListener.Receive(aPeer, aMessage)
    } -> std::same_as<void>;
};

}
