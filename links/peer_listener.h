#pragma once

#include "contracts/peer_message.h"
#include "core/names.h"

#include <concepts>
#include <cstdint>

namespace sardinecourse {

/**
 * What is told to the owner of the peer links, in the thread of their
 * io_context. PeerUp comes with each hello, PeerDown when the connection ended;
 * a revision comes with hellos and heartbeats. Receive gets all messages but
 * those that the links answer or match themselves.
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
