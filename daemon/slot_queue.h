#pragma once

#include "core/instant.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>

namespace sardinecourse {

/** The requests of one service that wait, in one thread, for a minion's slot;
 * first come, first served. */
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
  /** Takes a place at the end of the line. */
  Ticket Join();
  bool IsFirst(const Ticket& aTicket) const
  {
    return aTicket == this->waiting.begin();
  }
  /** Gives the place up; the next in line is woken. */
  void Leave(const Ticket& aTicket);
  /** Returns when a slot may be free for the first in line, or at the deadline.
   */
  boost::asio::awaitable<void> Wait(Ticket aTicket, Instant aDeadline);
  /** Called when a slot became free in this thread. */
  void WakeFirst();

private:
  boost::asio::io_context* context;
  std::list<boost::asio::steady_timer> waiting;
};

}
