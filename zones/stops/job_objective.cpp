#include "zones/stops/job_objective.h"

#include "contracts/admitted_job.h"

#include <algorithm>

namespace sardinecourse {

namespace {

/** Longest time that is computed from an estimate, in ms; about 30 years. */
constexpr double kMaxMilliseconds = 1e12;

/** A caller's estimate can be any number; its product may exceed the type. */
Milliseconds
Bounded(double aMilliseconds)
{
  return Milliseconds(static_cast<std::int64_t>(
    std::clamp(aMilliseconds, -kMaxMilliseconds, kMaxMilliseconds)));
}

}

JobObjective::JobObjective(const AdmittedJob& aJob, Milliseconds aMinRunTime)
{
  const std::vector<JobStep>& steps = aJob.Plan().Steps();
  // Longest time from the start of each step to the end of the job. A step
  // depends on earlier ones only.
  std::vector<double> untilEnd(steps.size(), 0.0);
  double longest = 0.0;
  for (std::size_t step = steps.size(); step > 0; --step) {
    const std::size_t current = step - 1;
    untilEnd[current] += static_cast<double>(
      std::max(steps[current].Estimate(), aMinRunTime).count());
    for (const std::int32_t earlier : steps[current].After()) {
      double& time = untilEnd[static_cast<std::size_t>(earlier)];
      time = std::max(time, untilEnd[current]);
    }
    longest = std::max(longest, untilEnd[current]);
  }
  const double objective = longest * std::max(aJob.Stretch(), 1.0) +
                           static_cast<double>(aJob.Allowance().count());
  this->shortestTime = Bounded(longest);
  this->time = Bounded(objective);
  for (const double time : untilEnd) {
    this->latestStarts.push_back(Bounded(objective - time));
  }
}

}
