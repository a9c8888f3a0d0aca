#pragma once

#include "core/instant.h"
#include "zones/pace/pace_preference.h"

namespace sardinecourse {

class AdmittedJob;

/** Which pace a unit of the step prefers, given how long its job has waited or
 * run. A unit prefers fast workers when it would miss its objective on a slow
 * one and can still meet it on a fast one; units with slack leave the fast
 * workers to others. */
PacePreference
ChoosePacePreference(const AdmittedJob& aJob,
                     std::int32_t aStep,
                     Milliseconds aWaited);

}
