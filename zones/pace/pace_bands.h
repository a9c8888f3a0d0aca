#pragma once

#include "zones/pace/pace_band.h"
#include "zones/pace/pace_preference.h"

#include <vector>

namespace sardinecourse {

/** The bands in which the workers of a gang are searched, the preferred one
 * first. The last one contains every worker, so that a preference never keeps a
 * gang from starting. */
std::vector<PaceBand>
PaceBandsFor(PacePreference aPreference);

}
