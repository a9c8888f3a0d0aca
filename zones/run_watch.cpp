#include "zones/run_watch.h"

#include "zones/domain_book.h"
#include "zones/work_size.h"

#include <algorithm>
#include <map>

namespace sardinecourse {

namespace {

/** A run is judged by its progress after so long. */
constexpr double kLeastSeenSeconds = 0.8;
/** Sound workers and tasks differ by less than this factor from the mean. */
constexpr double kSlowFactor = 4.0;
/** A run that shows no progress for so long, or for this share of the usual
 * run time, stands still. Progress is shown in steps of a hundredth, and a slow
 * worker takes several times as long for one. */
constexpr double kLeastStallSeconds = 5.0;
constexpr double kStallShare = 0.1;
constexpr double kPercent = 100.0;

}

RunWatch::RunWatch(DomainBook& aBook, Instant aNow)
  : book(&aBook)
  , now(aNow)
{
}

void
RunWatch::Run()
{
  this->DropLapsed();
  this->WatchProgress();
}

void
RunWatch::DropLapsed()
{
  std::map<WorkerName, bool> mayRun;
  const auto isLapsed = [this, &mayRun](const WorkerName& aWorker) {
    const auto [position, isNew] = mayRun.try_emplace(aWorker, true);
    if (isNew) {
      position->second = this->book->MayStillRun(aWorker, this->now);
    }
    return !position->second;
  };
  for (const JobKey& key : this->book->Active()) {
    JobBook& job = *this->book->FindJob(key);
    for (TaskUnit& unit : job.Units()) {
      std::int32_t index = unit.First();
      for (const MemberRun& member : unit.Members()) {
        if (member.phase != MemberPhase::kGone && isLapsed(member.worker)) {
          this->book->Vacate(job, unit, index);
          unit.Abandon(StopCause::kLapsed);
        }
        ++index;
      }
    }
  }
}

/** Notes workers on which a run takes far longer than usual, and gives up runs
 * that stand still. */
void
RunWatch::WatchProgress()
{
  for (const JobKey& key : this->book->Active()) {
    JobBook& job = *this->book->FindJob(key);
    const auto typical = this->book->RunTimes().Typical(job.Job().Queue());
    if (!typical || job.Final()) {
      continue;
    }
    for (TaskUnit& unit : job.Units()) {
      if (!unit.Idle() && unit.WholeSince() && !unit.Abandoned() &&
          !unit.Done() && !job.StepOf(unit).IsEndless()) {
        this->WatchProgressOf(unit, *typical);
      }
    }
  }
}

void
RunWatch::WatchProgressOf(TaskUnit& aUnit, Milliseconds aTypical)
{
  Instant seen = this->now;
  for (const MemberRun& member : aUnit.Members()) {
    const WorkerBook* worker = this->book->FindWorker(member.worker);
    seen = worker == nullptr ? Instant() : std::min(seen, worker->LastReport());
  }
  const double ran = Seconds(seen - *aUnit.WholeSince());
  if (ran < kLeastSeenSeconds) {
    return;
  }
  const double factor = aUnit.IsFar() ? this->book->Timing().FarFactor() : 1.0;
  const double usual = Seconds(aTypical) * factor;
  const double share = std::max(aUnit.Percent(), 1) / kPercent;
  const double expected = ran / share;
  if (expected < kSlowFactor * usual) {
    return;
  }
  if (aUnit.Count() == 1) {
    this->book->FindWorker(aUnit.Members().front().worker)->NoteSlow(this->now);
  }
  const double stalled = Seconds(seen - aUnit.LastProgress());
  if (stalled > std::max(kLeastStallSeconds, kStallShare * usual)) {
    aUnit.Abandon(StopCause::kStalled);
  }
}

}
