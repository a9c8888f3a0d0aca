#pragma once

#include <cstdint>
#include <vector>

namespace sardinecourse {

struct ModelJob;
struct ModelSettings;

/** The jobs of one seed, by time of arrival; the same for every policy. */
std::vector<ModelJob>
MakeJobStream(const ModelSettings& aSettings, std::uint32_t aSeed);

}
