#pragma once

#include <array>
#include <cstddef>

namespace sardinecourse {

/** Number of kinds of work whose effects on each other are measured; further
 * ones count as without effect. */
constexpr std::size_t kMaxKinds = 16;

/** Share of a run's time, between 0 and 1, during which a task of each kind was
 * beside it. */
using KindExposure = std::array<double, kMaxKinds>;

}
