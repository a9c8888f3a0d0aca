#include "links/http_client.h"

#include "links/http_connection.h"
#include "links/http_request.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace {

/** Limit for opening a connection. A round trip within a region takes
 * milliseconds, so an attempt that takes longer has failed. */
constexpr Milliseconds kConnectTimeout{ 1000 };

}

HttpClient::HttpClient(boost::asio::io_context& aContext)
  : context(&aContext)
{
}

HttpClient::~HttpClient() = default;

boost::asio::awaitable<std::optional<HttpAnswer>>
HttpClient::Call(Endpoint aEndpoint,
                 const HttpRequest& aRequest,
                 Milliseconds aTimeout,
                 ExchangeProgress& aProgress,
                 Reason& aReason)
{
  aProgress = ExchangeProgress::kNotSent;
  std::optional<HttpConnection> connection = this->TakeIdle(aEndpoint);
  if (!connection) {
    connection.emplace(*this->context, aEndpoint);
    const Milliseconds limit = std::min(aTimeout, kConnectTimeout);
    const bool isOpen = co_await connection->Connect(limit, aReason);
    if (!isOpen) {
      co_return std::nullopt;
    }
  }
  std::optional<HttpAnswer> answer =
    co_await connection->Exchange(aRequest, aTimeout, aProgress, aReason);
  if (!answer) {
    // The cause has probably affected the idle connections to it as well.
    this->CloseIdle(aEndpoint);
    co_return std::nullopt;
  }
  if (connection->Reusable()) {
    this->idle[aEndpoint].push_back(std::move(*connection));
  }
  co_return answer;
}

void
HttpClient::CloseIdle(const Endpoint& aEndpoint)
{
  this->idle.erase(aEndpoint);
}

std::optional<HttpConnection>
HttpClient::TakeIdle(const Endpoint& aEndpoint)
{
  const auto found = this->idle.find(aEndpoint);
  if (found == this->idle.end()) {
    return std::nullopt;
  }
  std::vector<HttpConnection>& connections = found->second;
  std::optional<HttpConnection> connection;
  while (!connection && !connections.empty()) {
    // The other side may have closed the connection while it was idle.
    if (connections.back().HasNoPendingInput()) {
      connection.emplace(std::move(connections.back()));
    }
    connections.pop_back();
  }
  if (connections.empty()) {
    this->idle.erase(found);
  }
  return connection;
}

}
