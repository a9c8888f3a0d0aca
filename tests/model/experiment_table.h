#pragma once

#include <iosfwd>
#include <vector>

namespace sardinecourse {

struct ModelFigures;
struct ModelSettings;

/** Writes a Markdown table with a line a policy: means over the seeds, and the
 * difference in worth to the first policy on the same jobs, with its standard
 * error. aBySeed holds the figures of each policy for each seed. */
void
WriteExperimentTable(std::ostream& aTo,
                     const ModelSettings& aSettings,
                     const std::vector<std::vector<ModelFigures>>& aBySeed);

}
