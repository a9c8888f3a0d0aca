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

  /** True while the connection is open and its last exchange, if any, was
   * complete. */
  bool Reusable() const;

  /** True if the other side has neither closed the connection nor sent bytes
   * that were not requested. For a connection without an exchange under way. */
  bool HasNoPendingInput() const;

  /** Opens the connection; false, with the reason, on a failure or at the
   * timeout. */
  boost::asio::awaitable<bool> Connect(Milliseconds aTimeout, Reason& aReason);

  /**
   * Sends the request and waits for the complete answer. Empty, with the
   * reason, on a failure or a timeout; aProgress then shows whether the other
   * side may have run the request. A connection whose exchange failed is
   * closed, so that a late answer is never matched to another request.
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
