#pragma once

#include <iosfwd>
#include <vector>

namespace sardinecourse {

struct ModelFigures;
struct ModelSettings;

/** Writes an SVG: for each policy a line of the share of the owed credit that
 * was earned, by the second of arrival, over all seeds. */
void
WriteWorthPlot(std::ostream& aTo,
               const ModelSettings& aSettings,
               const std::vector<std::vector<ModelFigures>>& aBySeed);

}
