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
  const auto left = std::make_shared<std::size_t>(aTasks.size());
  // The timer never expires: the last task to end cancels it.
  const auto done = std::make_shared<asio::steady_timer>(
    aContext, asio::steady_timer::time_point::max());
  for (asio::awaitable<void>& task : aTasks) {
    asio::co_spawn(
      aContext, std::move(task), [left, done](const std::exception_ptr&) {
        if (--*left == 0) {
          done->cancel();
        }
      });
  }
  boost::system::error_code ignored;
  if (*left > 0) {
    co_await done->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }
}

}
