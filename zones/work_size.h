#pragma once

#include "core/instant.h"

namespace sardinecourse {

class JobStep;
class Resources;

/** An accelerator weighs as much as several cores. */
double
CoreEquivalents(const Resources& aNeed);

/** What all given tasks of the step take together, in cores. */
double
CoreEquivalentsOf(const JobStep& aStep, std::int32_t aTasks);

double
Seconds(Clock::duration aTime);

}
