#pragma once

#include "core/endpoint.h"
#include "core/instant.h"
#include "links/exchange_progress.h"
#include "links/http_answer.h"

#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

class HttpConnection;
class Reason;
struct HttpRequest;

/** Sends HTTP requests over pooled connections; opens a new one if no idle one
 * to the endpoint is usable. Used only in the thread of its io_context. */
class HttpClient
{
public:
  explicit HttpClient(boost::asio::io_context& aContext);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /** Sends a request and waits for the answer; connecting and the exchange may
   * each take up to aTimeout, connecting at most 1000 ms. Empty, with the
   * reason, if no complete answer arrived in time; aProgress then shows whether
   * the other side may have run the request. */
  boost::asio::awaitable<std::optional<HttpAnswer>> Call(
    Endpoint aEndpoint,
    const HttpRequest& aRequest,
    Milliseconds aTimeout,
    ExchangeProgress& aProgress,
    Reason& aReason);

  /** Closes the idle connections to an endpoint. */
  void CloseIdle(const Endpoint& aEndpoint);

private:
  std::optional<HttpConnection> TakeIdle(const Endpoint& aEndpoint);

  boost::asio::io_context* context;
  std::map<Endpoint, std::vector<HttpConnection>> idle;
};

}
