#include "links/when_all.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;

asio::awaitable<void>
WhenAll(asio::io_context& aContext, std::vector<asio::awaitable<void>> aTasks)
{
  if (aTasks.empty()) {
    co_return;
  }
  const auto remaining = std::make_shared<std::size_t>(aTasks.size());
  // The timer never expires: the last task cancels it when it ends.
  const auto allEnded = std::make_shared<asio::steady_timer>(
    aContext, asio::steady_timer::time_point::max());
  for (asio::awaitable<void>& task : aTasks) {
    asio::co_spawn(aContext,
                   std::move(task),
                   [remaining, allEnded](const std::exception_ptr&) {
                     if (--*remaining == 0) {
                       allEnded->cancel();
                     }
                   });
  }
  boost::system::error_code ignored;
  if (*remaining > 0) {
    co_await allEnded->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}
