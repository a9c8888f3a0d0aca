#include "zones/work_size.h"

#include "contracts/job_plan.h"
#include "machines/resources.h"

namespace sardinecourse {

namespace {

/** Cores that an accelerator counts as when lost work is weighed. */
constexpr double kCoresPerAccelerator = 8.0;
constexpr double kMilliCoresPerCore = 1000.0;

}

double
CoreEquivalents(const Resources& aNeed)
{
  return static_cast<double>(aNeed.MilliCores()) / kMilliCoresPerCore +
         kCoresPerAccelerator * static_cast<double>(aNeed.Accelerators());
}

double
CoreEquivalentsOf(const JobStep& aStep, std::int32_t aTasks)
{
  return CoreEquivalents(aStep.Need()) * static_cast<double>(aTasks);
}

double
WorkOf(const JobPlan& aPlan)
{
  double work = 0.0;
  for (const JobStep& step : aPlan.Steps()) {
    work += CoreEquivalentsOf(step, step.Count()) * Seconds(step.Estimate());
  }
  return work * static_cast<double>(aPlan.Occurrences());
}

double
Seconds(Clock::duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

}
