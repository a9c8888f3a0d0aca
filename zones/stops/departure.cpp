#include "zones/stops/departure.h"

#include "zones/domain_state.h"
#include "zones/stops/run_forecast.h"

#include <algorithm>

namespace sardinecourse {

namespace {

/** A worker may stay longer than it has to. A run is given up if it needs more
 * than this many times the time that the worker stays for sure. */
constexpr int kLongerStay = 2;

/** Time that the run still needs, from its progress if enough of it was
 * reported, and otherwise from the usual run time. */
Clock::duration
NeededTime(const DomainState& aDomain,
           const TrackedJob& aJob,
           const TaskUnit& aUnit,
           Instant aObservedUntil,
           Instant aNow)
{
  const auto expected = ExpectedTimeLeft(aUnit, aObservedUntil, aNow);
  if (expected) {
    return *expected;
  }
  const Milliseconds usual = aDomain.RunTimes()
                               .Typical(aJob.Job().Queue())
                               .value_or(aJob.StepOf(aUnit).Estimate());
  return std::max<Clock::duration>(aUnit.StartedAt() + usual - aNow,
                                   Clock::duration::zero());
}

/** Whether the run's work is lost because the worker leaves. */
bool
IsLostWith(const DomainState& aDomain,
           const TrackedJob& aJob,
           const TaskUnit& aUnit,
           const TrackedWorker& aWorker,
           Instant aNow)
{
  const JobStep& step = aJob.StepOf(aUnit);
  if (step.IsEndless() || step.IsCheckpointing() || aUnit.Idle() ||
      aUnit.Abandoned() || aUnit.Done() || aJob.Final()) {
    return false;
  }
  return NeededTime(aDomain, aJob, aUnit, aWorker.LastReport(), aNow) >
         kLongerStay * (*aWorker.StaysUntil() - aNow);
}

}

void
GiveUpRunsOnLeavingWorkers(DomainState& aDomain, Instant aNow)
{
  for (const auto& [name, worker] : aDomain.Workers()) {
    if (!worker.StaysUntil() || aNow >= *worker.StaysUntil()) {
      continue;
    }
    for (const TaskAddress& task : worker.Tasks()) {
      TrackedJob* job = aDomain.FindJob(task.Job());
      TaskUnit* unit = job == nullptr ? nullptr : job->Find(task);
      if (unit != nullptr && IsLostWith(aDomain, *job, *unit, worker, aNow)) {
        unit->Abandon(StopCause::kWorkerLeaving);
      }
    }
  }
}

}
