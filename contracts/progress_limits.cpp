#include "contracts/progress_limits.h"

#include "contracts/job_plan.h"
#include "core/reason.h"
#include "core/saturated.h"

#include <string>

namespace sardinecourse {

namespace {

/** Part of a transaction that is reserved for open tasks and marks. */
constexpr std::int64_t kReservedBytes = 350'000;
/** Encoded size of a unit's index and brackets in the list of failed runs, and
 * of each run's number there. */
constexpr std::int64_t kFailedUnitBytes = 8;
constexpr std::int64_t kFailedRunBytes = 5;

}

bool
HasStorableProgress(const JobPlan& aPlan,
                    std::int32_t aMaxAttempts,
                    Reason& aReason)
{
  std::int64_t failedBytes = 0;
  for (const JobStep& step : aPlan.Steps()) {
    if (step.IsGang() && step.Count() > kMaxOpenTasks) {
      aReason = Reason(Step::kAdmission,
                       "",
                       "a gang has " + std::to_string(step.Count()) +
                         " tasks, at most " + std::to_string(kMaxOpenTasks) +
                         " are accepted");
      return false;
    }
    const std::int64_t attempts = step.IsEndless() ? 0 : aMaxAttempts;
    const std::int64_t unitBytes = SaturatedSum(
      kFailedUnitBytes, SaturatedProduct(attempts, kFailedRunBytes));
    failedBytes = SaturatedSum(
      failedBytes,
      SaturatedProduct(SaturatedProduct(step.UnitCount(), aPlan.Occurrences()),
                       unitBytes));
  }
  constexpr std::int64_t kMaxFailedBytes =
    static_cast<std::int64_t>(kMaxTransactionBytes) - kReservedBytes;
  if (failedBytes > kMaxFailedBytes) {
    aReason = Reason(Step::kAdmission,
                     "",
                     "the failed runs of all units can take " +
                       std::to_string(failedBytes) + " bytes, at most " +
                       std::to_string(kMaxFailedBytes) + " are stored");
    return false;
  }
  return true;
}

}
