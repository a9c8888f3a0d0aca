#pragma once

#include <cstdint>

namespace sardinecourse {

/** How a worker's pace compares with that of the typical worker, in ascending
 * order. */
enum class PaceClass : std::uint8_t
{
  kSlow,
  /** May be slow: not measured, or close to the bound. */
  kDoubtful,
  kTypical,
  kFast
};

/** Below this pace a run takes up more than half of the slack that an objective
 * of 1.5 times its run time leaves. */
constexpr double kSlowPace = 0.8;
/** What an unmeasured worker of an uneven service counts as. */
constexpr double kDoubtfulPace = 0.85;
constexpr double kTypicalPace = 0.9;
constexpr double kFastPace = 1.0 / kSlowPace;

constexpr PaceClass
PaceClassOf(double aPace)
{
  if (aPace < kSlowPace) {
    return PaceClass::kSlow;
  }
  if (aPace < kTypicalPace) {
    return PaceClass::kDoubtful;
  }
  return aPace > kFastPace ? PaceClass::kFast : PaceClass::kTypical;
}

}
