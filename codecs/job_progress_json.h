#pragma once

#include "contracts/job_progress.h"

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/** Encodes a job's progress as the JSON text stored in its row. */
std::string
EncodeJobProgress(const JobProgress& aProgress);

/** Empty, with the reason, when the text is not valid progress. */
std::optional<JobProgress>
DecodeJobProgress(const std::string& aText, Reason& aReason);

}
