#pragma once

#include "contracts/request_outcome.h"
#include "core/reason.h"
#include "links/http_answer.h"

#include <optional>

namespace sardinecourse {

/** The outcome of a forwarded request. */
struct ForwardResult
{
  RequestOutcome outcome = RequestOutcome::kNotRun;
  /** The minion's complete answer. Set when the outcome is kDone, unless the
   * answer of an earlier request with the same key was too large to store. */
  std::optional<HttpAnswer> answer;
  /** Why there is no answer; only meaningful without one. */
  Reason reason;
};

}
