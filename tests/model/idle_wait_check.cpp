#include "tests/model/idle_wait_check.h"

#include "contracts/job_step.h"
#include "tests/model/fleet_model.h"
#include "tests/model/model_settings.h"
#include "zones/domain_state.h"
#include "zones/work_size.h"

#include <algorithm>

namespace sardinecourse {

namespace {

constexpr std::int64_t kPercent = 100;

Milliseconds
Between(Instant aFrom, Instant aTo)
{
  return std::chrono::duration_cast<Milliseconds>(aTo - aFrom);
}

}

IdleWaitCheck::IdleWaitCheck(const ModelSettings& aSettings)
  : settings(&aSettings)
{
}

Resources
IdleWaitCheck::UsedOn(const FleetModel& aFleet)
{
  Resources used;
  for (const auto& [name, rack] : aFleet.Racks()) {
    used = used.Plus(aFleet.UsedOn(name));
  }
  return used;
}

Resources
IdleWaitCheck::TotalOf(const FleetModel& aFleet) const
{
  const auto workers = std::count_if(
    aFleet.Racks().begin(),
    aFleet.Racks().end(),
    [&aFleet](const auto& aEntry) { return !aFleet.HasLeft(aEntry.first); });
  return this->settings->workerCapacity.Times(workers);
}

bool
IdleWaitCheck::HasRoomTwice(const TrackedJob& aJob,
                            const TaskUnit& aUnit,
                            const FleetModel& aFleet) const
{
  const JobStep& step = aJob.StepOf(aUnit);
  std::int64_t room = 0;
  for (const auto& [name, rack] : aFleet.Racks()) {
    if (aFleet.HasLeft(name)) {
      continue;
    }
    const std::int32_t fitting =
      this->settings->workerCapacity.Minus(aFleet.UsedOn(name))
        .CountFitting(step.Need());
    room += step.MaxTasksPerWorker() == 0
              ? fitting
              : std::min(fitting, step.MaxTasksPerWorker());
  }
  return room >= 2 * static_cast<std::int64_t>(aUnit.Count());
}

/** The job's first unit that could start; null when there is none. */
const TaskUnit*
IdleWaitCheck::FindWaiting(TrackedJob& aJob, const FleetModel& aFleet) const
{
  for (std::int32_t number = 0; number < aJob.UnitCount(); ++number) {
    const TaskUnit& unit = aJob.Open(number);
    if (!unit.Done() &&
        aJob.AreDependenciesDone(unit.Occurrence(), unit.Step()) &&
        this->HasRoomTwice(aJob, unit, aFleet)) {
      return &unit;
    }
  }
  return nullptr;
}

void
IdleWaitCheck::Observe(Instant aNow,
                       DomainState& aDomain,
                       const FleetModel& aFleet)
{
  this->waits.clear();
  const Resources used = UsedOn(aFleet);
  const Resources total = this->TotalOf(aFleet);
  const bool isHalfFree = 2.0 * CoreEquivalents(used) < CoreEquivalents(total);
  for (auto& [key, job] : aDomain.Jobs()) {
    const TaskUnit* waiting = this->FindWaiting(job, aFleet);
    const bool isIdle =
      isHalfFree && !job.Final() && !aFleet.HasRuns(key) && waiting != nullptr;
    if (!isIdle) {
      this->idleSince.erase(key);
      continue;
    }
    const JobStep& step = job.StepOf(*waiting);
    const Instant since = this->idleSince.try_emplace(key, aNow).first->second;
    IdleWait wait;
    wait.job = key;
    wait.priority = job.Job().Priority();
    wait.count = waiting->Count();
    wait.prefersRack = step.PrefersOneRack() || !step.DataRack().Empty();
    wait.waited = Between(job.FirstSeen(), aNow);
    wait.estimate = step.Estimate();
    wait.idle = Between(since, aNow);
    wait.acceleratorsUsed = kPercent * used.Accelerators() /
                            std::max<std::int64_t>(total.Accelerators(), 1);
    wait.isPlaced = !waiting->Idle();
    this->waits[key] = wait;
  }
}

std::vector<IdleWait>
IdleWaitCheck::WaitingFor(Milliseconds aTime) const
{
  std::vector<IdleWait> found;
  for (const auto& [key, wait] : this->waits) {
    if (wait.idle >= aTime) {
      found.push_back(wait);
    }
  }
  return found;
}

}
