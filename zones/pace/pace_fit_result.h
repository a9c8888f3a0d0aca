#pragma once

#include <compare>
#include <vector>

namespace sardinecourse {

/** Natural logarithms of the paces of workers against their steps' estimates,
 * and of the factors by which runs of each step are faster than estimated. Both
 * are 0 where there is no sample. */
struct PaceFitResult
{
  std::vector<double> paces;
  std::vector<double> errors;

  auto operator<=>(const PaceFitResult&) const = default;
};

}
