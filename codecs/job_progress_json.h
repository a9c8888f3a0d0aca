#pragma once

#include "contracts/job_progress.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class Reason;

/** Encodes the progress of a job as JSON, or one row of it. */
std::string
EncodeJobProgress(const JobProgress& aProgress);

/** Decodes the progress of a job, or one row of it; empty, with the reason,
 * when it is invalid. */
std::optional<JobProgress>
DecodeJobProgress(const std::string& aText, Reason& aReason);

/** Encodes the progress of a job as rows of at most aMaxBytes. */
std::vector<std::string>
EncodeProgressRows(const JobProgress& aProgress, std::size_t aMaxBytes);

/** Decodes the rows of a job's progress; empty, with the reason, when one is
 * missing or invalid. */
std::optional<JobProgress>
DecodeProgressRows(const std::vector<std::string>& aRows, Reason& aReason);

}
