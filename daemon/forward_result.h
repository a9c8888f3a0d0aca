#pragma once

#include "contracts/request_outcome.h"
#include "core/reason.h"
#include "links/http_answer.h"

#include <optional>

namespace sardinecourse {

/** What became of a forwarded request. */
struct ForwardResult
{
  RequestOutcome outcome = RequestOutcome::kNotRun;
  /** The minion's whole answer; set when the outcome is "done". */
  std::optional<HttpAnswer> answer;
  /** Why there is no answer. */
  Reason reason;
};

}
