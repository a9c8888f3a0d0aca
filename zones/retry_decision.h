#pragma once

#include "contracts/request_outcome.h"
#include "core/instant.h"

namespace sardinecourse {

class Request;
class RequestProgress;

/**
 * True if the request may be attempted (again): the deadline has not passed, no
 * answer arrived, and the attempt can neither run a request twice that is not
 * idempotent nor exceed the retry budget. aIsRetryInBudget is true if the
 * budget allows one more retry.
 */
bool
MayAttempt(const Request& aRequest,
           const RequestProgress& aProgress,
           bool aIsRetryInBudget,
           Instant aNow);

/** The outcome to report to the caller when no further attempt is made. */
RequestOutcome
OutcomeOf(const RequestProgress& aProgress);

/**
 * The instant until which one attempt may wait for its answer. An idempotent
 * request leaves half of its time for another attempt, because an unresponsive
 * connection cannot be distinguished from a slow minion. The last attempt and
 * any other request wait until the deadline, and so does one whose half is not
 * much longer than aLatency, the usual time to an answer.
 */
Instant
AttemptDeadline(const Request& aRequest,
                const RequestProgress& aProgress,
                std::chrono::microseconds aLatency,
                Instant aNow);

}
