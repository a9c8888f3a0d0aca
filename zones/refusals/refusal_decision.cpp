#include "zones/refusals/refusal_decision.h"

#include "contracts/admitted_job.h"
#include "contracts/domain_backlog.h"
#include "zones/stops/job_objective.h"

#include <algorithm>
#include <functional>

namespace sardinecourse {

namespace {

/** Callers count on nothing from a job after this many times its objective. */
constexpr std::int64_t kGivenUpFactor = 3;
constexpr Milliseconds kMinRetry{ 1000 };
/** After a longer time the backlog says little. */
constexpr Milliseconds kMaxRetry{ 60'000 };
constexpr std::int64_t kSpreadSteps = 1000;

bool
IsWaitedFor(const JobPlan& aPlan)
{
  return !aPlan.IsTimed() &&
         std::none_of(aPlan.Steps().begin(),
                      aPlan.Steps().end(),
                      [](const JobStep& aStep) { return aStep.IsEndless(); });
}

/** Share of a time, from 0 to 1, that differs between jobs. */
double
SpreadOf(const JobKey& aJob)
{
  const std::size_t hash = std::hash<std::string>()(aJob.Text());
  return static_cast<double>(hash % kSpreadSteps) / kSpreadSteps;
}

}

std::optional<Milliseconds>
RetryAfterBacklog(const AdmittedJob& aJob, const DomainBacklog& aBacklog)
{
  if (aJob.Priority() == 0 || !IsWaitedFor(aJob.Plan())) {
    return std::nullopt;
  }
  const JobObjective objective(aJob);
  const Milliseconds wait = aBacklog.WaitOf(aJob.Service(), aJob.Priority());
  const Milliseconds end = wait + objective.ShortestTime();
  if (wait == Milliseconds(0) || end <= kGivenUpFactor * objective.Time()) {
    return std::nullopt;
  }
  // The job is in time again once the backlog is that much shorter. Callers
  // that were refused together come back one after the other, over the time
  // that the rest of the backlog takes.
  const Milliseconds shorter = end - objective.Time();
  const Milliseconds rest = wait - std::min(shorter, wait);
  const auto spread = Milliseconds(static_cast<std::int64_t>(
    SpreadOf(aJob.Key()) *
    static_cast<double>(std::max(rest, shorter / 2).count())));
  return std::clamp(shorter + spread, kMinRetry, kMaxRetry);
}

}
