#include "contracts/job_plan.h"

#include "core/saturated.h"

namespace sardinecourse {

WallTime
JobPlan::DueOf(std::int32_t aOccurrence) const
{
  const std::int64_t delay =
    SaturatedProduct(aOccurrence, this->interval.count());
  return WallTime(Milliseconds(
    SaturatedSum(this->firstDue.time_since_epoch().count(), delay)));
}

std::int64_t
JobPlan::UnitCount() const
{
  std::int64_t count = 0;
  for (const JobStep& step : this->steps) {
    count = SaturatedSum(count, step.UnitCount());
  }
  return SaturatedProduct(count, this->occurrences);
}

}
