#include "daemon/front_end.h"

#include "codecs/refusal.h"
#include "core/reason.h"
#include "links/http_connection.h"
#include "machines/minion_slot.h"
#include "zones/routing.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace sardinecourse {

namespace {

constexpr Milliseconds kConnectTimeout{ 1000 };
constexpr Milliseconds kDefaultDeadline{ 30000 };
constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kNotFound = 404;
constexpr std::string_view kServicePrefix = "/services/";

HttpAnswer
Refuse(int aStatus, const std::string& aOutcome, const Reason& aReason)
{
  HttpAnswer answer;
  answer.status = aStatus;
  answer.fields.Add("Content-Type", "application/json");
  answer.fields.Add("Sardinecourse-Outcome", aOutcome);
  answer.body = EncodeRefusal(aOutcome, aReason);
  return answer;
}

/** The service named in "/services/NAME/..."; empty when the target is another.
 */
ServiceName
ServiceOf(std::string_view aTarget)
{
  const std::string_view rest = aTarget.substr(kServicePrefix.size());
  return ServiceName(std::string(rest.substr(0, rest.find_first_of("/?"))));
}

}

FrontEnd::FrontEnd(boost::asio::io_context& aContext,
                   const Snapshot<MinionTable>& aMinions)
  : context(&aContext)
  , minions(&aMinions)
  , random(std::random_device{}())
{
}

boost::asio::awaitable<HttpAnswer>
FrontEnd::Handle(HttpRequest aRequest)
{
  if (aRequest.target == "/healthz" || aRequest.target == "/readyz") {
    co_return HttpAnswer{};
  }
  if (aRequest.target.starts_with(kServicePrefix)) {
    HttpAnswer answer = co_await this->Forward(aRequest);
    co_return answer;
  }
  co_return Refuse(kNotFound,
                   "not-run",
                   Reason(Step::kDecode, aRequest.target, "no such resource"));
}

boost::asio::awaitable<HttpAnswer>
FrontEnd::Forward(const HttpRequest& aRequest)
{
  const ServiceName service = ServiceOf(aRequest.target);
  Reason reason;
  std::optional<std::shared_ptr<MinionSlot>> routed;
  {
    const auto table = this->minions->Read();
    routed = Route(*table, service, this->random(), reason);
  }
  const log4cplus::Logger logger = log4cplus::Logger::getInstance("routing");
  if (!routed) {
    LOG4CPLUS_INFO(
      logger, "refused service=" << service.Text() << " " << reason.Message());
    co_return Refuse(kServiceUnavailable, "not-run", reason);
  }
  MinionSlot& slot = **routed;
  LOG4CPLUS_INFO(logger,
                 "routed service=" << service.Text() << " minion="
                                   << slot.Upstream().Name().Text()
                                   << " in_flight=" << slot.InFlight());
  HttpConnection connection(*this->context, slot.Upstream().Address());
  if (!co_await connection.Connect(kConnectTimeout, reason)) {
    slot.Release();
    co_return Refuse(kServiceUnavailable, "not-run", reason);
  }
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  std::optional<HttpAnswer> answer =
    co_await connection.Exchange(aRequest, kDefaultDeadline, progress, reason);
  slot.Release();
  if (!answer) {
    co_return Refuse(kBadGateway, "not-known", reason);
  }
  answer->fields.Add("Sardinecourse-Outcome", "done");
  co_return std::move(*answer);
}

}
