#include "zones/retry_decision.h"

#include "contracts/request.h"
#include "zones/request_progress.h"

namespace sardinecourse {

namespace {

constexpr std::int32_t kMaxAttempts = 3;
/** An attempt ends before the request's deadline only if it may last at least
 * this many usual latencies. */
constexpr std::int32_t kMinLatenciesPerAttempt = 4;

}

bool
MayAttempt(const Request& aRequest,
           const RequestProgress& aProgress,
           bool aIsRetryInBudget,
           Instant aNow)
{
  if (aProgress.Answered() || aNow >= aRequest.Deadline()) {
    return false;
  }
  if (aProgress.Attempts() == 0) {
    return true;
  }
  if (aProgress.Attempts() >= kMaxAttempts || !aIsRetryInBudget) {
    return false;
  }
  return aRequest.Idempotent() || !aProgress.MayHaveRun();
}

RequestOutcome
OutcomeOf(const RequestProgress& aProgress)
{
  if (aProgress.Answered()) {
    return RequestOutcome::kDone;
  }
  return aProgress.MayHaveRun() ? RequestOutcome::kNotKnown
                                : RequestOutcome::kNotRun;
}

Instant
AttemptDeadline(const Request& aRequest,
                const RequestProgress& aProgress,
                std::chrono::microseconds aLatency,
                Instant aNow)
{
  const bool isLast = aProgress.Attempts() + 1 >= kMaxAttempts;
  if (!aRequest.Idempotent() || isLast || aNow >= aRequest.Deadline()) {
    return aRequest.Deadline();
  }
  const Clock::duration half = (aRequest.Deadline() - aNow) / 2;
  return half >= kMinLatenciesPerAttempt * aLatency ? aNow + half
                                                    : aRequest.Deadline();
}

}
