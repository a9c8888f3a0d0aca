#pragma once

#include "core/instant.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

namespace sardinecourse {

/** FIFO queue of one thread's requests for one service that wait for a minion's
 * slot. */
class SlotQueue
{
public:
  using Ticket = std::list<boost::asio::steady_timer>::iterator;

  explicit SlotQueue(boost::asio::io_context& aContext)
    : context(&aContext)
  {
  }

  std::int32_t Length() const
  {
    return static_cast<std::int32_t>(this->waiting.size());
  }
  /** Adds a request to the end of the queue. */
  Ticket Join();
  bool IsFirst(const Ticket& aTicket) const
  {
    return aTicket == this->waiting.begin();
  }
  /** Removes a request from the queue and wakes the first one. */
  void Leave(const Ticket& aTicket);
  /** Returns when a slot may be free for the first request, or at the
   * deadline. */
  boost::asio::awaitable<void> Wait(Ticket aTicket, Instant aDeadline);
  /** Wakes the first request; called when this thread frees a slot. */
  void WakeFirst();

private:
  boost::asio::io_context* context;
  std::list<boost::asio::steady_timer> waiting;
};

}
