#include "daemon/operator_api.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;

OperatorApi::OperatorApi(asio::io_context& aControl,
                         HostSettingsManager& aManager,
                         StatusResource aStatus)
  : control(&aControl)
  , settings(aManager)
  , status(std::move(aStatus))
{
}

bool
OperatorApi::Serves(std::string_view aTarget)
{
  return aTarget.starts_with("/settings") || aTarget == "/status";
}

asio::awaitable<HttpAnswer>
OperatorApi::Handle(HttpRequest aRequest)
{
  HttpAnswer answer =
    co_await asio::co_spawn(*this->control,
                            this->HandleOnControl(std::move(aRequest)),
                            asio::use_awaitable);
  co_return answer;
}

asio::awaitable<HttpAnswer>
OperatorApi::HandleOnControl(HttpRequest aRequest)
{
  if (aRequest.target == "/status") {
    co_return this->status.Show();
  }
  HttpAnswer answer = co_await this->settings.Handle(std::move(aRequest));
  co_return answer;
}

}
