#pragma once

#include "core/instant.h"

#include <optional>

namespace sardinecourse {

class AdmittedJob;
class DomainBacklog;

/** When the caller of a new job should come back, if the job would not be done
 * before its callers count on nothing from it; empty for a job that is taken.
 * Urgent jobs, and jobs whose callers do not wait for their end, are always
 * taken. */
std::optional<Milliseconds>
RetryAfterBacklog(const AdmittedJob& aJob, const DomainBacklog& aBacklog);

}
