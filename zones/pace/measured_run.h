#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Identifies a run whose rate is measured. */
struct MeasuredRun
{
  /** Identifiers that are unique among the runs and the steps of a domain. */
  std::uint64_t run = 0;
  std::uint64_t step = 0;
  /** Estimate of its run time on a typical worker in the place where it runs.
   */
  double estimateMs = 0.0;

  auto operator<=>(const MeasuredRun&) const = default;
};

}
