#include "zones/retry_decision.h"

#include "contracts/request.h"
#include "zones/request_progress.h"

namespace sardinecourse {

namespace {

constexpr std::int32_t kMaxAttempts = 3;
/** An attempt is given up after no less than so many usual latencies. */
constexpr std::int32_t kMaxQueueWait = 4;

}

bool
MayAttempt(const Request& aRequest,
           const RequestProgress& aProgress,
           bool aBudget,
           Instant aNow)
{
  if (aProgress.Answered() || aNow >= aRequest.Deadline()) {
    return false;
  }
  if (aProgress.Attempts() == 0) {
    return true;
  }
  if (aProgress.Attempts() >= kMaxAttempts || !aBudget) {
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
  return half >= kMaxQueueWait * aLatency ? aNow + half : aRequest.Deadline();
}

}
