#pragma once

#include <iosfwd>
#include <vector>

namespace sardinecourse {

struct ModelFigures;
struct ModelSettings;

/** Writes an SVG chart with one line per policy: the share of the possible
 * credit that was earned over all seeds, by second of arrival. */
void
WriteWorthPlot(std::ostream& aTo,
               const ModelSettings& aSettings,
               const std::vector<std::vector<ModelFigures>>& aBySeed);

}
