#include "zones/pace/pace_preference_choice.h"

#include "contracts/admitted_job.h"
#include "zones/pace/pace_class.h"

#include <algorithm>
#include <vector>

namespace sardinecourse {

namespace {

/** Estimates of callers are rarely exact; a unit has slack only if it would be
 * in time with this much more work. */
constexpr double kEstimateMargin = 1.25;
/** Time in milliseconds for placing, storing and ordering a start and for the
 * report of its end. */
constexpr double kOverheadMs = 200.0;
/** A slow worker may be well below the bound of its class. */
constexpr double kAssumedSlowPace = 0.6;
constexpr double kAssumedFastPace = kFastPace;
/** A job that ends by this multiple of its objective is late, and later it is
 * worth nothing. */
constexpr double kLateFactor = 3.0;

/** Longest chain of estimates, in ms, that starts with the step; the whole
 * plan's when aFirst is negative. */
double
LongestChainMs(const std::vector<JobStep>& aSteps, std::int32_t aFirst)
{
  std::vector<double> chains(aSteps.size(), 0.0);
  std::vector<bool> follows(aSteps.size(), false);
  double longest = 0.0;
  for (std::size_t step = 0; step < aSteps.size(); ++step) {
    double before = 0.0;
    bool isIncluded = aFirst < 0 || step == static_cast<std::size_t>(aFirst);
    for (const std::int32_t dependency : aSteps[step].After()) {
      if (follows[dependency]) {
        isIncluded = true;
        before = std::max(before, chains[dependency]);
      }
    }
    if (isIncluded) {
      follows[step] = true;
      chains[step] =
        before + static_cast<double>(aSteps[step].Estimate().count());
      longest = std::max(longest, chains[step]);
    }
  }
  return longest;
}

}

PacePreference
ChoosePacePreference(const AdmittedJob& aJob,
                     std::int32_t aStep,
                     Milliseconds aWaited)
{
  const std::vector<JobStep>& steps = aJob.Plan().Steps();
  if (steps[aStep].IsEndless()) {
    return PacePreference::kNone;
  }
  const double objective = aJob.Stretch() * LongestChainMs(steps, -1) +
                           static_cast<double>(aJob.Allowance().count());
  const double work = LongestChainMs(steps, aStep);
  for (const double limit : { objective, kLateFactor * objective }) {
    const double left =
      limit - static_cast<double>(aWaited.count()) - kOverheadMs;
    if (work / kAssumedFastPace <= left) {
      const bool hasSlack = work * kEstimateMargin / kAssumedSlowPace <= left;
      return hasSlack ? PacePreference::kSlow : PacePreference::kFast;
    }
  }
  return PacePreference::kSlow;
}

}
