#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** One run's rate against its estimate: the sum of the worker's pace, of the
 * error of its step's estimate and of chance, as natural logarithms. */
struct PaceSample
{
  /** Indexes of the worker and of the step. */
  std::uint32_t worker = 0;
  std::uint32_t step = 0;
  double logRate = 0.0;
  /** Between 0 and 1; less for older runs. */
  double weight = 1.0;

  auto operator<=>(const PaceSample&) const = default;
};

}
