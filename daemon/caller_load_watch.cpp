#include "daemon/caller_load_watch.h"

#include "machines/caller_load.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace sardinecourse {

namespace {

constexpr std::chrono::seconds kInterval{ 10 };

}

CallerLoadWatch::CallerLoadWatch(boost::asio::io_context& aContext,
                                 const CallerLoad& aLoad,
                                 Report aReport)
  : context(&aContext)
  , load(&aLoad)
  , report(std::move(aReport))
{
}

boost::asio::awaitable<void>
CallerLoadWatch::Run()
{
  boost::asio::steady_timer timer(*this->context);
  while (true) {
    boost::system::error_code error;
    timer.expires_after(kInterval);
    co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    const Counts refusals = this->NewRefusals();
    const bool areAnyNew = std::any_of(
      refusals.begin(), refusals.end(), [](auto aCount) { return aCount > 0; });
    if (areAnyNew) {
      this->report(refusals);
    }
  }
}

CallerLoadWatch::Counts
CallerLoadWatch::NewRefusals()
{
  Counts refusals{};
  for (std::size_t cause = 0; cause < kCallerRefusals; ++cause) {
    const std::uint64_t count =
      this->load->CountOf(static_cast<CallerRefusal>(cause));
    refusals.at(cause) = count - std::exchange(this->reported.at(cause), count);
  }
  return refusals;
}

}
