#pragma once

#include "core/endpoint.h"
#include "core/instant.h"
#include "links/exchange_progress.h"
#include "links/http_answer.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

class Reason;
struct HttpRequest;

/** One client connection to an HTTP server; it carries one exchange at a time.
 */
class HttpConnection
{
public:
  HttpConnection(boost::asio::io_context& aContext, Endpoint aEndpoint);
  ~HttpConnection();
  HttpConnection(HttpConnection&&) noexcept;
  HttpConnection& operator=(HttpConnection&&) noexcept;

  const Endpoint& Peer() const { return this->endpoint; }

  /** True while the connection is open and its last exchange ended whole. */
  bool Reusable() const;

  /** True if, at this moment, the other side has neither closed the connection
   * nor sent bytes that nobody asked for. */
  bool Quiet() const;

  /** Opens the connection; false, with the reason, when that fails before the
   * timeout. */
  boost::asio::awaitable<bool> Connect(Milliseconds aTimeout, Reason& aReason);

  /**
   * Sends the request and waits for the whole answer. Empty, with the reason,
   * on a failure or a timeout; aProgress then tells whether the other side may
   * have run the request. A connection whose exchange failed is closed, so a
   * late answer can never be taken for another's.
   */
  boost::asio::awaitable<std::optional<HttpAnswer>> Exchange(
    const HttpRequest& aRequest,
    Milliseconds aTimeout,
    ExchangeProgress& aProgress,
    Reason& aReason);

  void Close();

private:
  struct Stream;

  Endpoint endpoint;
  std::unique_ptr<Stream> stream;
};

}
