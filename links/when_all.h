#pragma once

#include <boost/asio/awaitable.hpp>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

/** Runs all tasks concurrently and returns when the last one has ended;
 * exceptions of the tasks are ignored. */
boost::asio::awaitable<void>
WhenAll(boost::asio::io_context& aContext,
        std::vector<boost::asio::awaitable<void>> aTasks);

}
