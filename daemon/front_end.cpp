#include "daemon/front_end.h"

#include "codecs/refusal.h"
#include "core/reason.h"
#include "daemon/job_service.h"
#include "daemon/operator_api.h"
#include "daemon/request_context.h"

#include <utility>

namespace sardinecourse {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kNotFound = 404;
constexpr std::string_view kServicePrefix = "/services/";

}

FrontEnd::FrontEnd(boost::asio::io_context& aContext,
                   RequestContext& aShared,
                   RoutingLogBuffer& aLog)
  : shared(&aShared)
  , services(aContext, aShared, aLog)
{
}

boost::asio::awaitable<HttpAnswer>
FrontEnd::Handle(HttpRequest aRequest)
{
  if (aRequest.target.starts_with(kServicePrefix)) {
    HttpAnswer answer = co_await this->services.Handle(std::move(aRequest));
    co_return answer;
  }
  if (JobService::Serves(aRequest.target)) {
    HttpAnswer answer =
      co_await this->shared->jobs->Handle(std::move(aRequest));
    co_return answer;
  }
  if (aRequest.target == "/healthz") {
    co_return HttpAnswer{};
  }
  if (aRequest.target == "/readyz") {
    co_return this->Ready();
  }
  if (aRequest.target == "/metrics") {
    co_return this->Metrics();
  }
  if (OperatorApi::Serves(aRequest.target)) {
    HttpAnswer answer =
      co_await this->shared->operators->Handle(std::move(aRequest));
    co_return answer;
  }
  const Reason reason(Step::kDecode, aRequest.target, "no such resource");
  HttpAnswer answer;
  answer.status = kNotFound;
  answer.fields.Add("Content-Type", "application/json");
  answer.fields.Add("Sardinecourse-Outcome", "not-run");
  answer.body = EncodeRefusal("not-run", reason);
  co_return answer;
}

HttpAnswer
FrontEnd::Ready() const
{
  HttpAnswer answer;
  answer.status = this->shared->readiness.Ready() ? 200 : kServiceUnavailable;
  return answer;
}

HttpAnswer
FrontEnd::Metrics() const
{
  HttpAnswer answer;
  answer.fields.Add("Content-Type", "text/plain; version=0.0.4");
  const auto table = this->shared->minions.Read();
  answer.body = this->shared->metrics.Text(*table);
  return answer;
}

}
