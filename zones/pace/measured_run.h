#pragma once

#include <compare>
#include <cstdint>
#include <optional>

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
  /** Whether it is a member of a gang, whose members have like work. */
  bool isGangMember = false;
  /** When it began, on the worker's clock; empty for a run that resumed from a
   * checkpoint or that an earlier holder started. */
  std::optional<std::int64_t> beganMs;

  auto operator<=>(const MeasuredRun&) const = default;
};

}
