#include "daemon/slot_queue.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardinecourse {

namespace {

/** Other threads do not signal the slots that they free, so the first request
 * polls for them at this interval. */
constexpr Milliseconds kPollInterval{ 1 };

}

SlotQueue::Ticket
SlotQueue::Join()
{
  return this->waiting.emplace(this->waiting.end(), *this->context);
}

void
SlotQueue::Leave(const Ticket& aTicket)
{
  this->waiting.erase(aTicket);
  this->WakeFirst();
}

boost::asio::awaitable<void>
SlotQueue::Wait(Ticket aTicket, Instant aDeadline)
{
  boost::system::error_code ignored;
  const Clock::duration left = aDeadline - Clock::now();
  aTicket->expires_after(this->IsFirst(aTicket)
                           ? std::min<Clock::duration>(left, kPollInterval)
                           : left);
  co_await aTicket->async_wait(
    boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

void
SlotQueue::WakeFirst()
{
  if (!this->waiting.empty()) {
    this->waiting.front().cancel();
  }
}

}
