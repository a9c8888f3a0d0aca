#pragma once

#include <iosfwd>
#include <vector>

namespace sardinecourse {

struct ModelFigures;
struct ModelSettings;

/** Writes a Markdown table with one row per policy: means over the seeds, and
 * the difference in worth from the first policy on the same jobs, with its
 * standard error. aBySeed[seed][policy] holds the figures of one run. */
void
WriteExperimentTable(std::ostream& aTo,
                     const ModelSettings& aSettings,
                     const std::vector<std::vector<ModelFigures>>& aBySeed);

}
