#include "links/peer_probe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace sardinecourse {

boost::asio::awaitable<bool>
RefusesConnections(boost::asio::io_context& aContext,
                   Endpoint aEndpoint,
                   Milliseconds aTimeout)
{
  boost::system::error_code error;
  const boost::asio::ip::tcp::endpoint peer(
    boost::asio::ip::make_address(aEndpoint.Ip()), aEndpoint.Port());
  boost::beast::tcp_stream stream(aContext);
  stream.expires_after(aTimeout);
  co_await stream.async_connect(
    peer, boost::asio::redirect_error(boost::asio::use_awaitable, error));
  co_return error == boost::asio::error::connection_refused;
}

}
