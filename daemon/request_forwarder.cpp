#include "daemon/request_forwarder.h"

#include "contracts/request.h"
#include "daemon/readiness.h"
#include "daemon/request_metrics.h"
#include "daemon/routing_log_buffer.h"
#include "links/minion_protocol.h"
#include "machines/minion_state.h"
#include "zones/request_progress.h"
#include "zones/retry_decision.h"
#include "zones/routed_minion.h"
#include "zones/routing.h"
#include "zones/routing_inputs.h"
#include "zones/shedding.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace sardinecourse {

namespace {

using std::chrono::microseconds;

/** Maximum number of requests in the queue of one service and thread. */
constexpr std::int32_t kMaxQueuedRequests = 4096;
/** Divisor of the moving average: a new latency has a weight of 1/16. */
constexpr std::int32_t kLatencySmoothing = 16;
/** How often a request checks whether the host has settings yet: a small
 * fraction of the tens of milliseconds that reading them takes. */
constexpr Milliseconds kSettingsPollInterval{ 10 };

}

RequestForwarder::RequestForwarder(boost::asio::io_context& aContext,
                                   const Snapshot<MinionTable>& aMinions,
                                   RequestMetrics& aMetrics,
                                   RoutingLogBuffer& aLog,
                                   const Readiness& aReadiness,
                                   std::int32_t aThreads)
  : context(&aContext)
  , minions(&aMinions)
  , metrics(&aMetrics)
  , log(&aLog)
  , readiness(&aReadiness)
  , threads(aThreads)
  , links(aContext)
  , random(std::random_device{}())
{
}

boost::asio::awaitable<ForwardResult>
RequestForwarder::Forward(Request aRequest, HttpRequest aMessage)
{
  ForwardResult result;
  result.reason = Reason(Step::kAdmission, "", "the deadline has passed");
  RequestProgress progress;
  std::shared_ptr<MinionState> lastMinion;
  this->budget.Earn();
  co_await this->AwaitSettings(aRequest.Deadline());
  while (
    MayAttempt(aRequest, progress, this->budget.MayRetry(), Clock::now())) {
    if (progress.Attempts() > 0) {
      this->budget.Spend();
      this->metrics->RecordRetry();
    }
    const MinionState* avoided = lastMinion.get();
    Reason reason;
    std::optional<RoutedMinion> routed =
      co_await this->AcquireSlot(aRequest, avoided, reason);
    this->Log(aRequest, progress, routed, reason);
    if (!routed) {
      result.reason = reason;
      break;
    }
    lastMinion = routed->minion;
    SlotGuard guard(lastMinion);
    const microseconds latency = this->StateOf(aRequest.Service()).latency;
    const Instant deadline =
      AttemptDeadline(aRequest, progress, latency, Clock::now());
    AttemptEnd end = AttemptEnd::kNotSent;
    std::optional<HttpAnswer> answer = co_await this->Attempt(aRequest,
                                                              std::move(guard),
                                                              lastMinion,
                                                              aMessage,
                                                              deadline,
                                                              end,
                                                              result.reason);
    progress = progress.After(end);
    if (end == AttemptEnd::kAnswered) {
      result.answer = std::move(answer);
    }
  }
  result.outcome = OutcomeOf(progress);
  co_return result;
}

/** A host listens before it has settings, because the first settings are
 * submitted through it. Until then it cannot refuse a request because no minion
 * serves its service. */
boost::asio::awaitable<void>
RequestForwarder::AwaitSettings(Instant aDeadline)
{
  if (this->readiness->HasSettings()) {
    co_return;
  }
  boost::asio::steady_timer timer(*this->context);
  while (!this->readiness->HasSettings() && Clock::now() < aDeadline) {
    boost::system::error_code ignored;
    timer.expires_after(kSettingsPollInterval);
    co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

boost::asio::awaitable<std::optional<RoutedMinion>>
RequestForwarder::AcquireSlot(Request aRequest,
                              const MinionState* aAvoided,
                              Reason& aReason)
{
  // Checked first, so that unknown service names do not allocate state.
  if (!this->Serves(aRequest.Service())) {
    aReason = Reason(Step::kRouting,
                     aRequest.Service().Text(),
                     "no minion serves this service");
    co_return std::nullopt;
  }
  ServiceState& state = this->StateOf(aRequest.Service());
  if (state.queue.Length() == 0) {
    std::optional<RoutedMinion> routed =
      this->TryRoute(aRequest, aAvoided, aReason);
    if (routed) {
      co_return routed;
    }
  }
  if (!this->Admits(aRequest, state, aReason)) {
    co_return std::nullopt;
  }
  const SlotQueue::Ticket ticket = state.queue.Join();
  std::optional<RoutedMinion> routed;
  while (!routed && Clock::now() < aRequest.Deadline()) {
    co_await state.queue.Wait(ticket, aRequest.Deadline());
    if (state.queue.IsFirst(ticket)) {
      routed = this->TryRoute(aRequest, aAvoided, aReason);
    }
  }
  state.queue.Leave(ticket);
  if (!routed) {
    aReason = Reason(Step::kRouting,
                     aRequest.Service().Text(),
                     "no slot became free before the deadline");
  }
  co_return routed;
}

boost::asio::awaitable<std::optional<HttpAnswer>>
RequestForwarder::Attempt(Request aRequest,
                          SlotGuard aGuard,
                          std::shared_ptr<MinionState> aMinion,
                          HttpRequest aMessage,
                          Instant aDeadline,
                          AttemptEnd& aEnd,
                          Reason& aReason)
{
  const Instant start = Clock::now();
  const auto timeLeft =
    std::chrono::duration_cast<Milliseconds>(aRequest.Deadline() - start);
  aMessage.fields.Set(kDeadlineField, std::to_string(timeLeft.count()));
  aMessage.fields.Set(kMinionNameField, aMinion->Upstream().Name().Text());
  MinionLink& link = this->links.To(aMinion);
  std::optional<HttpAnswer> answer = co_await link.Exchange(std::move(aMessage),
                                                            std::move(aGuard),
                                                            aRequest.Identity(),
                                                            aDeadline,
                                                            aEnd,
                                                            aReason);
  const Instant now = Clock::now();
  ServiceState& state = this->StateOf(aRequest.Service());
  state.queue.WakeFirst();
  if (aEnd == AttemptEnd::kAnswered) {
    const auto latency = std::chrono::duration_cast<microseconds>(now - start);
    aMinion->RecordAnswer(latency, now);
    this->UpdateLatency(state, latency);
  } else if (aEnd != AttemptEnd::kRefused) {
    aMinion->RecordFailure(now);
  }
  co_return answer;
}

std::optional<RoutedMinion>
RequestForwarder::TryRoute(const Request& aRequest,
                           const MinionState* aAvoided,
                           Reason& aReason)
{
  const RoutingInputs inputs{
    this->random(), Clock::now(), aRequest.Deadline(), aAvoided
  };
  const auto table = this->minions->Read();
  return Route(*table, aRequest.Service(), inputs, aReason);
}

bool
RequestForwarder::Serves(const ServiceName& aService) const
{
  const auto table = this->minions->Read();
  return table->Find(aService) != nullptr;
}

bool
RequestForwarder::Admits(const Request& aRequest,
                         const ServiceState& aState,
                         Reason& aReason)
{
  const std::string& service = aRequest.Service().Text();
  std::int32_t slots = 0;
  {
    const auto table = this->minions->Read();
    const ServicePool* pool = table->Find(aRequest.Service());
    slots = pool == nullptr ? 0 : UsableSlots(*pool);
  }
  if (slots == 0) {
    aReason = Reason(
      Step::kAdmission, service, "every minion of the service is leaving");
    return false;
  }
  const microseconds wait =
    ExpectedWait(aState.queue.Length() * this->threads, slots, aState.latency);
  const Clock::duration remaining = aRequest.Deadline() - Clock::now();
  if (aState.queue.Length() >= kMaxQueuedRequests ||
      ShouldShed(wait, aState.latency, remaining)) {
    this->metrics->RecordShed();
    aReason = Reason(Step::kAdmission,
                     service,
                     "overloaded: the deadline would pass before an answer");
    return false;
  }
  return true;
}

RequestForwarder::ServiceState&
RequestForwarder::StateOf(const ServiceName& aService)
{
  return this->services.try_emplace(aService, *this->context).first->second;
}

void
RequestForwarder::UpdateLatency(ServiceState& aState, microseconds aLatency)
{
  const bool isFirst = aState.latency == microseconds::zero();
  aState.latency =
    isFirst ? aLatency
            : aState.latency + (aLatency - aState.latency) / kLatencySmoothing;
}

void
RequestForwarder::Log(const Request& aRequest,
                      const RequestProgress& aProgress,
                      const std::optional<RoutedMinion>& aRouted,
                      const Reason& aReason)
{
  RoutingRecord record;
  record.request = aRequest.Identity();
  record.team = aRequest.Team().Text();
  record.service = aRequest.Service().Text();
  record.attempt = aProgress.Attempts() + 1;
  if (aRouted) {
    record.minion = aRouted->minion;
    record.choice = aRouted->choice;
    record.inFlight = aRouted->minion->InFlight();
  } else {
    record.refusal = aReason.Message();
  }
  this->log->Push(record);
}

}
