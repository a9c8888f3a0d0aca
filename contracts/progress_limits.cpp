#include "contracts/progress_limits.h"

#include "contracts/job_plan.h"
#include "core/reason.h"

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
      aReason = Reason(Step::kAdmission, "", "a gang has too many tasks");
      return false;
    }
    const std::int64_t units = step.IsGang() ? 1 : step.Count();
    const std::int64_t attempts = step.IsEndless() ? 0 : aMaxAttempts;
    failedBytes += units * aPlan.Occurrences() *
                   (kFailedUnitBytes + attempts * kFailedRunBytes);
  }
  if (failedBytes >
      static_cast<std::int64_t>(kMaxTransactionBytes) - kReservedBytes) {
    aReason = Reason(
      Step::kAdmission, "", "the job has too many units for its attempts");
    return false;
  }
  return true;
}

}
