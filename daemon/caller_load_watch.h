#pragma once

#include "machines/caller_refusal.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>

namespace sardinecourse {

class CallerLoad;

/** Reports from time to time what was refused to callers since the last report,
 * so that a crowd of them cannot fill the log. */
class CallerLoadWatch
{
public:
  /** Number of refusals by cause. */
  using Counts = std::array<std::uint64_t, kCallerRefusals>;
  using Report = std::function<void(const Counts&)>;

  CallerLoadWatch(boost::asio::io_context& aContext,
                  const CallerLoad& aLoad,
                  Report aReport);

  /** Runs until its event loop ends. */
  boost::asio::awaitable<void> Run();

private:
  /** Refusals since the last call. */
  Counts NewRefusals();

  boost::asio::io_context* context;
  const CallerLoad* load;
  Report report;
  Counts reported{};
};

}
