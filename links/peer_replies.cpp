#include "links/peer_replies.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace sardinecourse {

PeerReplies::PendingReply::PendingReply(boost::asio::io_context& aContext,
                                        HostName aPeer)
  : peer(std::move(aPeer))
  , timer(aContext)
{
}

PeerReplies::PeerReplies(boost::asio::io_context& aContext)
  : context(&aContext)
{
}

boost::asio::awaitable<std::optional<PeerMessage>>
PeerReplies::Wait(std::int64_t aRequest, HostName aPeer, Milliseconds aTimeout)
{
  const auto [entry, isNew] =
    this->pending.try_emplace(aRequest, *this->context, std::move(aPeer));
  entry->second.timer.expires_after(aTimeout);
  boost::system::error_code ignored;
  co_await entry->second.timer.async_wait(
    boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  std::optional<PeerMessage> reply = std::move(entry->second.reply);
  this->pending.erase(entry);
  co_return reply;
}

bool
PeerReplies::Deliver(std::int64_t aRequest,
                     const HostName& aPeer,
                     const PeerMessage& aReply)
{
  const auto found = this->pending.find(aRequest);
  if (found == this->pending.end() || found->second.peer != aPeer) {
    return false;
  }
  found->second.reply = aReply;
  found->second.timer.cancel();
  return true;
}

void
PeerReplies::Abandon(const HostName& aPeer)
{
  for (auto& [request, entry] : this->pending) {
    if (entry.peer == aPeer) {
      entry.timer.cancel();
    }
  }
}

}
