#include "daemon/front_end.h"

#include "codecs/caller_load_text.h"
#include "codecs/refusal.h"
#include "core/reason.h"
#include "daemon/job_service.h"
#include "daemon/operator_api.h"
#include "daemon/request_context.h"

#include <string>
#include <utility>

namespace sardinecourse {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kNotFound = 404;
constexpr int kContentTooLarge = 413;
constexpr std::string_view kServicePrefix = "/services/";
/** Jobs and settings are decoded, which takes many times their size. The
 * settings of the largest fleet take a fifth of it. */
constexpr std::size_t kMaxDecodedBytes = 1U << 20U;

HttpAnswer
Refuse(int aStatus, const Reason& aReason)
{
  HttpAnswer answer;
  answer.status = aStatus;
  answer.fields.Add("Content-Type", "application/json");
  answer.fields.Add("Sardinecourse-Outcome", "not-run");
  answer.body = EncodeRefusal("not-run", aReason);
  return answer;
}

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
  if (aRequest.body.size() > kMaxDecodedBytes) {
    const Reason reason(Step::kDecode,
                        "",
                        "the body exceeds " + std::to_string(kMaxDecodedBytes) +
                          " bytes");
    co_return Refuse(kContentTooLarge, reason);
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
  co_return Refuse(kNotFound, reason);
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
  answer.body = this->shared->metrics.Text(*table) +
                CallerLoadText(this->shared->callerLoad);
  return answer;
}

}
