#pragma once

#include "core/endpoint.h"
#include "core/instant.h"

#include <boost/asio/awaitable.hpp>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

/** True only if the host itself refuses the connection, so that no process
 * listens on the endpoint. False on success, on a timeout and on any other
 * error: these do not show that the process has exited. */
boost::asio::awaitable<bool>
RefusesConnections(boost::asio::io_context& aContext,
                   Endpoint aEndpoint,
                   Milliseconds aTimeout);

}
