#pragma once

#include "core/instant.h"

namespace sardinecourse {

class JobPlan;
class JobStep;
class Resources;

/** Resources expressed in cores; an accelerator counts as 8 cores. */
double
CoreEquivalents(const Resources& aNeed);

/** Core equivalents of aTasks tasks of the step together. */
double
CoreEquivalentsOf(const JobStep& aStep, std::int32_t aTasks);

/** Estimated work of a plan in all occurrences, in core-seconds. */
double
WorkOf(const JobPlan& aPlan);

double
Seconds(Clock::duration aTime);

}
