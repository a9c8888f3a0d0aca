#include "tests/harness/http_client.h"

#include "links/http_connection.h"
#include "tests/harness/wait.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <utility>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kProbeTimeout{ 1000 };

boost::asio::awaitable<void>
Exchange(HttpConnection& aConnection,
         const HttpRequest& aRequest,
         Milliseconds aTimeout,
         ExchangeProgress& aProgress,
         Reason& aReason,
         std::optional<HttpAnswer>& aAnswer)
{
  if (!aConnection.Reusable()) {
    const bool isOpen = co_await aConnection.Connect(aTimeout, aReason);
    if (!isOpen) {
      co_return;
    }
  }
  aAnswer =
    co_await aConnection.Exchange(aRequest, aTimeout, aProgress, aReason);
}

}

struct HttpClient::Transport
{
  explicit Transport(const Endpoint& aServer)
    : connection(context, aServer)
  {
  }
  boost::asio::io_context context{ 1 };
  HttpConnection connection;
};

HttpClient::HttpClient(Endpoint aServer)
  : server(std::move(aServer))
  , transport(std::make_unique<Transport>(this->server))
{
}

HttpClient::~HttpClient() = default;

std::optional<HttpAnswer>
HttpClient::Call(const HttpRequest& aRequest, Milliseconds aTimeout)
{
  this->progress = ExchangeProgress::kNotSent;
  this->reason = Reason();
  std::optional<HttpAnswer> answer;
  boost::asio::co_spawn(this->transport->context,
                        Exchange(this->transport->connection,
                                 aRequest,
                                 aTimeout,
                                 this->progress,
                                 this->reason,
                                 answer),
                        boost::asio::detached);
  this->transport->context.restart();
  this->transport->context.run();
  return answer;
}

std::optional<HttpAnswer>
HttpClient::Get(const std::string& aTarget, Milliseconds aTimeout)
{
  HttpRequest request;
  request.method = "GET";
  request.target = aTarget;
  return this->Call(request, aTimeout);
}

std::optional<HttpAnswer>
HttpClient::Post(const std::string& aTarget,
                 const std::string& aBody,
                 Milliseconds aTimeout)
{
  HttpRequest request;
  request.method = "POST";
  request.target = aTarget;
  request.body = aBody;
  return this->Call(request, aTimeout);
}

bool
WaitForHttp(const Endpoint& aServer,
            const std::string& aTarget,
            int aStatus,
            Milliseconds aTimeout)
{
  HttpClient client(aServer);
  return WaitUntil(aTimeout, [&] {
    const auto answer = client.Get(aTarget, kProbeTimeout);
    return answer && answer->status == aStatus;
  });
}

}
