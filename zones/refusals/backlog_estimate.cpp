#include "zones/refusals/backlog_estimate.h"

#include "zones/domain_state.h"

#include <algorithm>
#include <limits>

namespace sardinecourse {

namespace {

/** Published waits are multiples of this time. No caller whose job takes longer
 * than that much counts on less. */
constexpr Milliseconds kStep{ 5000 };
constexpr double kMaxMilliseconds = 1e12;

/** Work in the resources of a service, in milliseconds of each. */
struct ResourceTimes
{
  double cores = 0.0;
  double memory = 0.0;
  double accelerators = 0.0;

  void Add(const Resources& aNeed, double aTimes)
  {
    this->cores += aTimes * static_cast<double>(aNeed.MilliCores());
    this->memory += aTimes * static_cast<double>(aNeed.MemoryMb());
    this->accelerators += aTimes * static_cast<double>(aNeed.Accelerators());
  }
};

double
Ratio(double aWork, std::int64_t aCapacity)
{
  // No worker has the resource, or none is listed: nothing is known.
  return aCapacity > 0 ? aWork / static_cast<double>(aCapacity) : 0.0;
}

double
TimeLeft(const TaskUnit& aUnit, double aRunTime, Instant aNow)
{
  const std::chrono::duration<double, std::milli> ran =
    aNow - aUnit.StartedAt();
  return aUnit.Idle() ? aRunTime : std::max(aRunTime - ran.count(), 0.0);
}

/** Work of the units of one occurrence that are not done. Later occurrences are
 * not due yet. */
void
AddOpenWork(const DomainState& aDomain,
            const TrackedJob& aJob,
            Instant aNow,
            ResourceTimes& aTimes)
{
  const JobPlan& plan = aJob.Job().Plan();
  const auto typical = aDomain.RunTimes().Typical(aJob.Job().Queue());
  const std::int32_t occurrence =
    aJob.FirstUnfinished() / aJob.UnitsPerOccurrence();
  for (std::int32_t step = 0;
       step < static_cast<std::int32_t>(plan.Steps().size());
       ++step) {
    const JobStep& current = plan.Steps()[static_cast<std::size_t>(step)];
    if (current.IsEndless()) {
      continue;
    }
    const auto runTime =
      static_cast<double>(typical.value_or(current.Estimate()).count());
    const std::int32_t first = aJob.FirstUnitOf(occurrence, step);
    for (std::int32_t unit = first; unit < first + current.UnitCount();
         ++unit) {
      if (aJob.IsDone(unit)) {
        continue;
      }
      const auto open = aJob.OpenUnits().find(unit);
      const double left = open == aJob.OpenUnits().end()
                            ? runTime
                            : TimeLeft(open->second, runTime, aNow);
      aTimes.Add(current.Need(),
                 left * static_cast<double>(current.TasksPerUnit()));
    }
  }
}

}

DomainBacklog::Waits
EstimateBacklog(const DomainState& aDomain, Instant aNow)
{
  std::map<std::pair<ServiceName, std::int32_t>, ResourceTimes> work;
  for (const JobKey& key : aDomain.Active()) {
    const TrackedJob& job = aDomain.Jobs().at(key);
    if (!job.Final()) {
      AddOpenWork(aDomain,
                  job,
                  aNow,
                  work[{ job.Job().Service(), job.Job().Priority() }]);
    }
  }
  std::map<ServiceName, Resources> capacities;
  for (const auto& [name, worker] : aDomain.Workers()) {
    if (worker.Listed() && !worker.Listing().IsLeaving()) {
      Resources& capacity = capacities[worker.Listing().Service()];
      capacity = capacity.Plus(worker.Listing().Capacity());
    }
  }
  DomainBacklog::Waits waits;
  std::map<ServiceName, double> sums;
  for (const auto& [key, times] : work) {
    const Resources& capacity = capacities[key.first];
    double& sum = sums[key.first];
    sum += std::max({ Ratio(times.cores, capacity.MilliCores()),
                      Ratio(times.memory, capacity.MemoryMb()),
                      Ratio(times.accelerators, capacity.Accelerators()) });
    waits[key] =
      Milliseconds(static_cast<std::int64_t>(std::min(sum, kMaxMilliseconds)));
  }
  return waits;
}

DomainBacklog::Waits
PublishedBacklog(const DomainBacklog::Waits& aWaits)
{
  DomainBacklog::Waits published;
  for (const auto& [key, wait] : aWaits) {
    if (wait >= kStep) {
      published[key] = wait / kStep * kStep;
    }
  }
  return published;
}

}
