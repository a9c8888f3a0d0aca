#include "tool/daemon_client.h"

#include "core/reason.h"
#include "links/http_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;

namespace {

/** Input and results of one HTTP exchange. */
struct Exchange
{
  const HttpRequest* request;
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  std::optional<HttpAnswer> answer;
  Reason reason;
};

asio::awaitable<void>
Perform(asio::io_context& aContext, Endpoint aDaemon, Exchange& aExchange)
{
  HttpConnection connection(aContext, std::move(aDaemon));
  const bool isOpen = co_await connection.Connect(DaemonClient::kConnectTimeout,
                                                  aExchange.reason);
  if (isOpen) {
    aExchange.answer =
      co_await connection.Exchange(*aExchange.request,
                                   DaemonClient::kAnswerTimeout,
                                   aExchange.progress,
                                   aExchange.reason);
  }
}

}

DaemonClient::DaemonClient(std::vector<Endpoint> aDaemons)
  : daemons(std::move(aDaemons))
{
}

std::optional<HttpAnswer>
DaemonClient::Get(const std::string& aTarget, Reason& aReason)
{
  return this->Call({ "GET", aTarget, {}, "" }, aReason);
}

std::optional<HttpAnswer>
DaemonClient::Post(const std::string& aTarget,
                   const std::string& aBody,
                   Reason& aReason)
{
  HttpRequest request{ "POST", aTarget, {}, aBody };
  request.fields.Add("Content-Type", "application/json");
  return this->Call(request, aReason);
}

std::optional<HttpAnswer>
DaemonClient::Delete(const std::string& aTarget, Reason& aReason)
{
  return this->Call({ "DELETE", aTarget, {}, "" }, aReason);
}

std::optional<HttpAnswer>
DaemonClient::Call(const HttpRequest& aRequest, Reason& aReason)
{
  for (const Endpoint& daemon : this->daemons) {
    asio::io_context context(1);
    Exchange exchange{ &aRequest, {}, {}, {} };
    asio::co_spawn(context, Perform(context, daemon, exchange), asio::detached);
    context.run();
    this->progress = exchange.progress;
    if (exchange.answer) {
      return exchange.answer;
    }
    aReason = exchange.reason;
    const bool mayRepeat =
      aRequest.method == "GET" || this->progress == ExchangeProgress::kNotSent;
    if (!mayRepeat) {
      break;
    }
  }
  return std::nullopt;
}

}
