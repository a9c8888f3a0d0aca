#pragma once

#include "tests/soak/rehearsal_job.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {
struct ModelSettings;
}

namespace sardinecourse::harness {

/** The settings for another number of workers: more jobs, and wider ones. */
ModelSettings
ScaleSettings(const ModelSettings& aSettings, int aWorkers);

/** Jobs of one seed, sorted by arrival. */
std::vector<RehearsalJob>
MakeRehearsalJobs(const ModelSettings& aSettings, unsigned aSeed);

/** A version of the site's configuration: a queue for each kind of job under
 * aAuthority, and aFurtherQueues that no caller uses. */
std::string
RehearsalConfiguration(const ModelSettings& aSettings,
                       const std::string& aAuthority,
                       std::int64_t aVersion,
                       int aFurtherQueues);

}
