#include "zones/run_monitor.h"

#include "zones/domain_state.h"
#include "zones/given_up_runs.h"
#include "zones/work_size.h"

#include <algorithm>
#include <map>

namespace sardinecourse {

namespace {

/** Progress is evaluated only after a run has been observed for this long, in
 * seconds. */
constexpr double kMinObservedSeconds = 0.8;
/** Run times of healthy tasks on healthy workers differ from the mean by less
 * than this factor. */
constexpr double kSlowFactor = 4.0;
/** A run has stalled when its progress does not change for this time, or for
 * this share of the typical run time if that is longer. Progress is reported in
 * steps of 1%, and a slow worker takes several times as long for one step. */
constexpr double kMinStallSeconds = 5.0;
constexpr double kStallShare = 0.1;
constexpr double kPercent = 100.0;

}

RunMonitor::RunMonitor(DomainState& aDomain, Instant aNow)
  : domain(&aDomain)
  , now(aNow)
{
}

std::vector<GivenUpRuns>
RunMonitor::Run()
{
  std::vector<GivenUpRuns> givenUp = this->DropExpiredRuns();
  this->CheckProgress();
  return givenUp;
}

std::vector<GivenUpRuns>
RunMonitor::DropExpiredRuns()
{
  std::map<WorkerName, std::int64_t> runs;
  std::map<WorkerName, bool> mayRun;
  const auto isLeaseExpired = [this, &mayRun](const WorkerName& aWorker) {
    const auto [position, isNew] = mayRun.try_emplace(aWorker, true);
    if (isNew) {
      position->second = this->domain->MayStillRun(aWorker, this->now);
    }
    return !position->second;
  };
  for (const JobKey& key : this->domain->Active()) {
    TrackedJob& job = *this->domain->FindJob(key);
    for (auto& [number, unit] : job.OpenUnits()) {
      std::int32_t index = unit.First();
      for (const MemberRun& member : unit.Members()) {
        if (member.phase != MemberPhase::kGone &&
            isLeaseExpired(member.worker)) {
          this->domain->MarkMemberGone(job, unit, index);
          unit.Abandon(StopCause::kLeaseExpired);
          ++runs[member.worker];
        }
        ++index;
      }
    }
  }
  std::vector<GivenUpRuns> givenUp;
  for (const auto& [worker, count] : runs) {
    const auto silent = std::chrono::duration_cast<Milliseconds>(
      this->now - this->domain->SilentSince(worker));
    givenUp.push_back(GivenUpRuns{ worker, count, silent });
  }
  return givenUp;
}

/** Penalises workers on which a run takes far longer than is typical, and gives
 * up stalled runs. */
void
RunMonitor::CheckProgress()
{
  for (const JobKey& key : this->domain->Active()) {
    TrackedJob& job = *this->domain->FindJob(key);
    const auto typical = this->domain->RunTimes().Typical(job.Job().Queue());
    if (!typical || job.Final()) {
      continue;
    }
    for (auto& [number, unit] : job.OpenUnits()) {
      if (!unit.Idle() && unit.AllRunningSince() && !unit.Abandoned() &&
          !unit.Done() && !job.StepOf(unit).IsEndless()) {
        this->CheckProgressOf(unit, *typical);
      }
    }
  }
}

void
RunMonitor::CheckProgressOf(TaskUnit& aUnit, Milliseconds aTypical)
{
  Instant observedUntil = this->now;
  for (const MemberRun& member : aUnit.Members()) {
    const TrackedWorker* worker = this->domain->FindWorker(member.worker);
    observedUntil = worker == nullptr
                      ? Instant()
                      : std::min(observedUntil, worker->LastReport());
  }
  const double ran = Seconds(observedUntil - *aUnit.AllRunningSince());
  if (ran < kMinObservedSeconds) {
    return;
  }
  const double factor =
    (aUnit.IsRemote() ? this->domain->Timing().RemoteSlowdown() : 1.0) /
    this->domain->PaceOf(aUnit);
  const double typical = Seconds(aTypical) * factor;
  const double share = std::max(aUnit.Percent(), 1) / kPercent;
  const double expected = ran / share;
  if (expected < kSlowFactor * typical) {
    return;
  }
  if (aUnit.Count() == 1) {
    this->domain->FindWorker(aUnit.Members().front().worker)
      ->NoteSlow(this->now);
  }
  const double stalled = Seconds(observedUntil - aUnit.LastProgress());
  if (stalled > std::max(kMinStallSeconds, kStallShare * typical)) {
    aUnit.Abandon(StopCause::kStalled);
  }
}

}
