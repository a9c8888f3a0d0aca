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

/** Matches replies of peers to the requests that wait for them. */
class PeerReplies
{
public:
  explicit PeerReplies(boost::asio::io_context& aContext);

  /** A number for the next request. */
  std::int64_t NextRequest() { return ++this->last; }
  /** Waits for Deliver() of this request from this peer; empty at the timeout
   * or when the peer's connection ended. */
  boost::asio::awaitable<std::optional<PeerMessage>>
  Wait(std::int64_t aRequest, HostName aPeer, Milliseconds aTimeout);
  /** False when no such request waits for that peer. */
  bool Deliver(std::int64_t aRequest,
               const HostName& aPeer,
               const PeerMessage& aReply);
  /** Ends every wait for that peer. */
  void Abandon(const HostName& aPeer);

private:
  struct Waiting
  {
    Waiting(boost::asio::io_context& aContext, HostName aPeer);
    HostName peer;
    boost::asio::steady_timer timer;
    std::optional<PeerMessage> reply;
  };

  boost::asio::io_context* context;
  std::int64_t last = 0;
  std::map<std::int64_t, Waiting> waiting;
};

}
