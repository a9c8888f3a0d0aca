#include "daemon/service_requests.h"

#include "codecs/refusal.h"
#include "contracts/claim_builder.h"
#include "contracts/request.h"
#include "daemon/request_context.h"
#include "links/caller_protocol.h"
#include "links/minion_protocol.h"

#include <array>
#include <charconv>
#include <random>
#include <utility>

namespace sardinecourse {

namespace {

constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kHexadecimal = 16;

HttpAnswer
Refuse(int aStatus, RequestOutcome aOutcome, const Reason& aReason)
{
  const std::string outcome(RequestOutcomeName(aOutcome));
  HttpAnswer answer;
  answer.status = aStatus;
  answer.fields.Add("Content-Type", "application/json");
  answer.fields.Add(std::string(kOutcomeField), outcome);
  if (aStatus == kUnavailable) {
    answer.fields.Add("Retry-After", "1");
  }
  answer.body = EncodeRefusal(outcome, aReason);
  return answer;
}

int
RefusalStatus(const ForwardResult& aResult)
{
  // Only the reuse of a key fails at the claim; it has separate statuses.
  if (aResult.reason.At() == Step::kClaim) {
    return aResult.outcome == RequestOutcome::kNotRun ? kUnprocessable
                                                      : kConflict;
  }
  return aResult.outcome == RequestOutcome::kNotRun ? kUnavailable
                                                    : kBadGateway;
}

HttpAnswer
ToAnswer(ForwardResult&& aResult, std::string_view aCallerIdentity)
{
  if (!aResult.answer) {
    return Refuse(RefusalStatus(aResult), aResult.outcome, aResult.reason);
  }
  HttpAnswer answer = std::move(*aResult.answer);
  answer.fields.Remove(kMinionLeavingField);
  answer.fields.Set(kOutcomeField,
                    std::string(RequestOutcomeName(RequestOutcome::kDone)));
  if (!aCallerIdentity.empty()) {
    answer.fields.Set(kRequestIdentityField, std::string(aCallerIdentity));
  }
  return answer;
}

ForwardResult
ReplayStored(const Claim& aClaim)
{
  ForwardResult result;
  result.outcome = RequestOutcome::kDone;
  result.answer.emplace();
  result.answer->status = aClaim.Status();
  result.answer->body = aClaim.Body();
  result.answer->fields.Add("Content-Type", aClaim.ContentType());
  result.answer->fields.Add("Sardinecourse-Replayed", "true");
  return result;
}

ForwardResult
ResultFromClaim(const Request& aRequest, const ClaimAnswer& aClaim)
{
  const std::string& key = aRequest.Key();
  ForwardResult result;
  switch (aClaim.outcome) {
    case ClaimOutcome::kOwned:
    case ClaimOutcome::kStored:
      return ReplayStored(aClaim.found);
    case ClaimOutcome::kNotStored:
      result.outcome = RequestOutcome::kDone;
      result.reason = Reason(
        Step::kClaim,
        key,
        "the request with this key has run; its answer was too large to store");
      return result;
    case ClaimOutcome::kContentMismatch:
      result.outcome = RequestOutcome::kNotRun;
      result.reason =
        Reason(Step::kClaim,
               key,
               "the key was already used for a request with different content");
      return result;
    case ClaimOutcome::kNotKnown:
      result.outcome = RequestOutcome::kNotKnown;
      result.reason =
        Reason(Step::kClaim,
               key,
               "the request with this key is in progress, or ended without "
               "an answer");
      return result;
    case ClaimOutcome::kUnavailable:
      result.outcome = RequestOutcome::kNotRun;
      result.reason = Reason(
        Step::kPlatformWrite,
        key,
        "the key could not be claimed; nothing was sent for this attempt");
      return result;
  }
  return result;
}

}

ServiceRequests::ServiceRequests(boost::asio::io_context& aContext,
                                 RequestContext& aShared,
                                 RoutingLogBuffer& aLog)
  : shared(&aShared)
  , forwarder(aContext,
              aShared.minions,
              aShared.metrics,
              aLog,
              aShared.readiness,
              aShared.threads)
{
  // Random, so that a restarted host does not reuse an identity.
  std::random_device device;
  const std::uint64_t start =
    (static_cast<std::uint64_t>(device()) << 32U) | device();
  std::array<char, 16> text{};
  const auto [end, error] =
    std::to_chars(text.data(), text.data() + text.size(), start, kHexadecimal);
  this->identityPrefix = aShared.host.Text() + "-";
  this->identityPrefix.append(text.data(), end);
  this->identityPrefix += '-';
}

boost::asio::awaitable<HttpAnswer>
ServiceRequests::Handle(HttpRequest aMessage)
{
  const Instant arrival = Clock::now();
  Reason reason;
  const std::optional<Request> request =
    ReadCallerRequest(aMessage, this->NextIdentity(), arrival, reason);
  if (!request) {
    this->shared->metrics.Record(RequestOutcome::kNotRun,
                                 Clock::now() - arrival);
    co_return Refuse(kBadRequest, RequestOutcome::kNotRun, reason);
  }
  const std::string callerIdentity(aMessage.fields.Find(kRequestIdentityField));
  HttpRequest message = ToMinionMessage(std::move(aMessage), *request);
  ForwardResult result;
  if (request->NeedsClaim()) {
    result = co_await this->HandleKeyed(*request, std::move(message));
  } else {
    result = co_await this->forwarder.Forward(*request, std::move(message));
  }
  this->shared->metrics.Record(result.outcome, Clock::now() - arrival);
  co_return ToAnswer(std::move(result), callerIdentity);
}

boost::asio::awaitable<ForwardResult>
ServiceRequests::HandleKeyed(Request aRequest, HttpRequest aMessage)
{
  const ClaimAnswer claim = co_await this->shared->claims.Acquire(aRequest);
  if (claim.outcome != ClaimOutcome::kOwned) {
    co_return ResultFromClaim(aRequest, claim);
  }
  ForwardResult result =
    co_await this->forwarder.Forward(aRequest, std::move(aMessage));
  this->FinalizeClaim(aRequest, result);
  co_return result;
}

void
ServiceRequests::FinalizeClaim(const Request& aRequest,
                               const ForwardResult& aResult)
{
  if (aResult.outcome == RequestOutcome::kNotRun) {
    this->shared->claims.Release(aRequest);
    return;
  }
  ClaimBuilder builder;
  builder.Owner(aRequest.Identity()).Fingerprint(aRequest.Fingerprint());
  builder.State(ClaimState::kNotKnown);
  if (aResult.answer) {
    builder.State(ClaimState::kDone);
    builder.Answer(aResult.answer->status,
                   std::string(aResult.answer->fields.Find("Content-Type")),
                   aResult.answer->body);
  }
  Reason reason;
  const std::optional<Claim> claim = builder.Build(reason);
  if (claim) {
    this->shared->claims.Finalize(aRequest, *claim);
  }
}

std::string
ServiceRequests::NextIdentity()
{
  return this->identityPrefix + std::to_string(this->nextIdentity++);
}

}
