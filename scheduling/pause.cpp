#include "scheduling/pause.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardinecourse {

boost::asio::awaitable<void>
Pause(boost::asio::io_context& aContext, Milliseconds aTime)
{
  boost::system::error_code ignored;
  boost::asio::steady_timer timer(aContext, aTime);
  co_await timer.async_wait(
    boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}
