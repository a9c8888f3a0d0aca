#pragma once

#include "contracts/peer_message.h"
#include "core/instant.h"
#include "core/names.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>

namespace sardinecourse {

/** Matches replies of peers to pending requests. */
class PeerReplies
{
public:
  explicit PeerReplies(boost::asio::io_context& aContext);

  /** Returns a new request number. */
  std::int64_t NextRequest() { return ++this->lastRequest; }
  /** Waits for Deliver() of the reply to this request from this peer; empty at
   * the timeout or when the connection to the peer has ended. */
  boost::asio::awaitable<std::optional<PeerMessage>>
  Wait(std::int64_t aRequest, HostName aPeer, Milliseconds aTimeout);
  /** Hands a reply to the request that waits for it; false if no such request
   * to that peer is pending. */
  bool Deliver(std::int64_t aRequest,
               const HostName& aPeer,
               const PeerMessage& aReply);
  /** Ends all waits for replies of that peer. */
  void Abandon(const HostName& aPeer);

private:
  struct PendingReply
  {
    PendingReply(boost::asio::io_context& aContext, HostName aPeer);
    HostName peer;
    boost::asio::steady_timer timer;
    std::optional<PeerMessage> reply;
  };

  boost::asio::io_context* context;
  std::int64_t lastRequest = 0;
  std::map<std::int64_t, PendingReply> pending;
};

}
