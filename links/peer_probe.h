#pragma once

#include "core/endpoint.h"
#include "core/instant.h"

#include <boost/asio/awaitable.hpp>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

/** True only when the host itself refuses the connection, which shows that
 * nothing listens there. A timeout or an unreachable network shows nothing. */
boost::asio::awaitable<bool>
RefusesConnections(boost::asio::io_context& aContext,
                   Endpoint aEndpoint,
                   Milliseconds aTimeout);

}
