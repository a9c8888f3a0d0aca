#pragma once

#include "contracts/job_call.h"
#include "contracts/job_reply.h"
#include "contracts/run_outcome.h"

#include <string_view>

namespace sardinecourse {

/** Names used in logs and metrics, for example "submit", "not_run" and
 * "lapsed". */
std::string_view
JobCallName(JobCall::Kind aKind);
std::string_view
JobReplyName(JobReply::Kind aKind);
std::string_view
RunOutcomeName(RunOutcome aOutcome);

}
