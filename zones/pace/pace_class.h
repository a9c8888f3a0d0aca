#pragma once

#include <cstdint>

namespace sardinecourse {

/** How a worker's pace compares with that of the typical worker, in ascending
 * order. */
enum class PaceClass : std::uint8_t
{
  kSlow,
  kTypical,
  kFast
};

/** Below this pace a run takes up more than half of the slack that an objective
 * of 1.5 times its run time leaves. */
constexpr double kSlowPace = 0.8;
constexpr double kFastPace = 1.0 / kSlowPace;

constexpr PaceClass
PaceClassOf(double aPace)
{
  if (aPace < kSlowPace) {
    return PaceClass::kSlow;
  }
  return aPace > kFastPace ? PaceClass::kFast : PaceClass::kTypical;
}

}
