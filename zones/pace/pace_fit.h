#pragma once

#include "zones/pace/pace_sample.h"

#include <cstddef>
#include <vector>

namespace sardinecourse {

/** Separates the paces of workers from the errors of the steps' estimates.
 * Returns the natural logarithm of each worker's pace against the estimates; 0
 * for a worker without samples. Samples must be in ascending order of workers.
 * A few runs that take far longer than their siblings, as long tasks do, hardly
 * change the result. aStart is the result of an earlier fit, or zeros. */
std::vector<double>
FitPaces(const std::vector<PaceSample>& aSamples,
         std::size_t aSteps,
         std::vector<double> aStart);

}
