#pragma once

#include <cstdint>
#include <vector>

namespace sardinecourse {

struct ModelJob;
struct ModelSettings;

/** Generates the jobs of one seed, sorted by arrival. They do not depend on the
 * policy. */
std::vector<ModelJob>
MakeJobStream(const ModelSettings& aSettings, std::uint32_t aSeed);

}
