#include "zones/run_monitor.h"

#include "zones/domain_state.h"
#include "zones/work_size.h"

#include <algorithm>
#include <map>

namespace sardinecourse {

namespace {

/** A run is judged by its progress after so long. */
constexpr double kMinSeenSeconds = 0.8;
/** Sound workers and tasks differ by less than this factor from the mean. */
constexpr double kSlowFactor = 4.0;
/** A run that shows no progress for so long, or for this share of the usual
 * run time, stands still. Progress is shown in steps of a hundredth, and a slow
 * worker takes several times as long for one. */
constexpr double kMinStallSeconds = 5.0;
constexpr double kStallShare = 0.1;
constexpr double kPercent = 100.0;

}

RunMonitor::RunMonitor(DomainState& aDomain, Instant aNow)
  : domain(&aDomain)
  , now(aNow)
{
}

void
RunMonitor::Run()
{
  this->DropExpiredRuns();
  this->WatchProgress();
}

void
RunMonitor::DropExpiredRuns()
{
  std::map<WorkerName, bool> mayRun;
  const auto isLapsed = [this, &mayRun](const WorkerName& aWorker) {
    const auto [position, isNew] = mayRun.try_emplace(aWorker, true);
    if (isNew) {
      position->second = this->domain->MayStillRun(aWorker, this->now);
    }
    return !position->second;
  };
  for (const JobKey& key : this->domain->Active()) {
    TrackedJob& job = *this->domain->FindJob(key);
    for (TaskUnit& unit : job.Units()) {
      std::int32_t index = unit.First();
      for (const MemberRun& member : unit.Members()) {
        if (member.phase != MemberPhase::kGone && isLapsed(member.worker)) {
          this->domain->MarkMemberGone(job, unit, index);
          unit.Abandon(StopCause::kLeaseExpired);
        }
        ++index;
      }
    }
  }
}

/** Notes workers on which a run takes far longer than usual, and gives up runs
 * that stand still. */
void
RunMonitor::WatchProgress()
{
  for (const JobKey& key : this->domain->Active()) {
    TrackedJob& job = *this->domain->FindJob(key);
    const auto typical = this->domain->RunTimes().Typical(job.Job().Queue());
    if (!typical || job.Final()) {
      continue;
    }
    for (TaskUnit& unit : job.Units()) {
      if (!unit.Idle() && unit.AllRunningSince() && !unit.Abandoned() &&
          !unit.Done() && !job.StepOf(unit).IsEndless()) {
        this->WatchProgressOf(unit, *typical);
      }
    }
  }
}

void
RunMonitor::WatchProgressOf(TaskUnit& aUnit, Milliseconds aTypical)
{
  Instant seen = this->now;
  for (const MemberRun& member : aUnit.Members()) {
    const TrackedWorker* worker = this->domain->FindWorker(member.worker);
    seen = worker == nullptr ? Instant() : std::min(seen, worker->LastReport());
  }
  const double ran = Seconds(seen - *aUnit.AllRunningSince());
  if (ran < kMinSeenSeconds) {
    return;
  }
  const double factor =
    aUnit.IsRemote() ? this->domain->Timing().RemoteSlowdown() : 1.0;
  const double usual = Seconds(aTypical) * factor;
  const double share = std::max(aUnit.Percent(), 1) / kPercent;
  const double expected = ran / share;
  if (expected < kSlowFactor * usual) {
    return;
  }
  if (aUnit.Count() == 1) {
    this->domain->FindWorker(aUnit.Members().front().worker)
      ->NoteSlow(this->now);
  }
  const double stalled = Seconds(seen - aUnit.LastProgress());
  if (stalled > std::max(kMinStallSeconds, kStallShare * usual)) {
    aUnit.Abandon(StopCause::kStalled);
  }
}

}
