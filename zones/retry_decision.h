#pragma once

#include "contracts/request_outcome.h"
#include "core/instant.h"

namespace sardinecourse {

class Request;
class RequestProgress;

/**
 * True if the request may be attempted (again): the deadline has not passed, no
 * answer arrived, and running it now can neither double it nor exceed the
 * budget. aBudget tells whether the retry budget allows one more.
 */
bool
MayAttempt(const Request& aRequest,
           const RequestProgress& aProgress,
           bool aBudget,
           Instant aNow);

/** What the caller is told when no further attempt is made. */
RequestOutcome
OutcomeOf(const RequestProgress& aProgress);

/**
 * Until when one attempt may wait for its answer. An idempotent request leaves
 * half of its time for another attempt, because a connection that has gone
 * silent looks like a slow minion; any other waits to its deadline, and so does
 * one whose half is not much longer than aLatency, the usual time to an answer.
 */
Instant
AttemptDeadline(const Request& aRequest,
                const RequestProgress& aProgress,
                std::chrono::microseconds aLatency,
                Instant aNow);

}
