#pragma once

#include "core/instant.h"

#include <boost/asio/awaitable.hpp>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

/** Suspends the calling coroutine for aTime without blocking its thread. */
boost::asio::awaitable<void>
Pause(boost::asio::io_context& aContext, Milliseconds aTime);

}
