#include "zones/domain_pass.h"

#include "core/reason.h"
#include "zones/domain_book.h"
#include "zones/held_room.h"
#include "zones/place_search.h"
#include "zones/place_wish_builder.h"
#include "zones/preemptible_run.h"
#include "zones/preemption_search.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace sardinecourse {

namespace {

/** An unanswered stop is ordered again after this time; longer than the timeout
 * of the order. */
constexpr Milliseconds kStopRetry{ 1200 };
/** Members of a gang that is done end by themselves within this time. */
constexpr Milliseconds kEndTogether{ 1500 };
/** A timed occurrence is started so long after its due time by this host's
 * calendar, which may differ from the platform's. */
constexpr Milliseconds kDueMargin{ 50 };
/** Time that a reclaim needs beyond the stops: orders, the look that lists the
 * ends, and the starts. */
constexpr Milliseconds kReclaimOverhead{ 1300 };
/** A search for runs to stop costs more than one for room, so a unit makes one
 * this often. */
constexpr Milliseconds kReclaimRetry{ 200 };
/** Room that is being freed is held for its unit for so long. */
constexpr Milliseconds kHoldTime{ 2500 };
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
/** Queues of this priority and lower ones are batch work. */
constexpr std::int32_t kFirstBatchPriority = 2;
/** Work that a checkpointing task loses at most when it is stopped. */
constexpr double kCheckpointSeconds = 0.5;
/** An accelerator weighs as much as so many cores in the cost of lost work. */
constexpr double kCoresPerAccelerator = 8.0;

constexpr double kMilliCoresPerCore = 1000.0;

double
CoreEquivalents(const Resources& aNeed)
{
  return static_cast<double>(aNeed.MilliCores()) / kMilliCoresPerCore +
         kCoresPerAccelerator * static_cast<double>(aNeed.Accelerators());
}

StopCause
CauseToStop(const JobBook& aJob, const TaskUnit& aUnit)
{
  if (aJob.Final()) {
    return StopCause::kJobOver;
  }
  return aUnit.Done() ? StopCause::kUnitDone : aUnit.AbandonedFor();
}

double
Seconds(Clock::duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

}

DomainPass::DomainPass(DomainBook& aBook,
                       HeldRoom& aHeld,
                       Instant aNow,
                       WallTime aWallTime,
                       DomainPolicy aPolicy)
  : book(&aBook)
  , held(&aHeld)
  , now(aNow)
  , wallTime(aWallTime)
  , policy(aPolicy)
  , view(aBook, aHeld, aNow)
{
}

DomainOrders
DomainPass::Run()
{
  this->held->DropExpired(this->now);
  if (this->book->SweepIsDue(this->now)) {
    this->DropLapsed();
    this->WatchProgress();
  }
  this->StopUnwanted();
  for (const WaitingGroup& group : this->Waiting()) {
    this->Serve(group);
  }
  return std::move(this->orders);
}

void
DomainPass::DropLapsed()
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
DomainPass::WatchProgress()
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
DomainPass::WatchProgressOf(TaskUnit& aUnit, Milliseconds aTypical)
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

void
DomainPass::StopUnwanted()
{
  std::vector<JobKey> retired;
  for (const JobKey& key : this->book->Active()) {
    JobBook& job = *this->book->FindJob(key);
    bool isIdle = true;
    for (TaskUnit& unit : job.Units()) {
      if (unit.Idle()) {
        continue;
      }
      isIdle = false;
      const bool endsByItself =
        unit.Done() && this->now < unit.LastProgress() + kEndTogether;
      const bool isUnwanted = unit.Abandoned() || unit.Done() || job.Final();
      if (isUnwanted && !endsByItself) {
        this->StopMembers(job, unit);
      }
    }
    if (job.Final() && isIdle && !job.Dirty()) {
      retired.push_back(key);
    }
  }
  for (const JobKey& key : retired) {
    this->book->Retire(key);
  }
  std::vector<StopOrder> strays = this->book->TakeStrays();
  std::move(
    strays.begin(), strays.end(), std::back_inserter(this->orders.stops));
}

void
DomainPass::StopMembers(JobBook& aJob, TaskUnit& aUnit)
{
  std::int32_t index = aUnit.First() - 1;
  for (std::size_t position = 0; position < aUnit.Members().size();
       ++position) {
    ++index;
    MemberRun* member = aUnit.Find(index, aUnit.Run());
    const bool isDue =
      member->phase != MemberPhase::kGone &&
      (!member->stopSent || this->now >= *member->stopSent + kStopRetry);
    if (!isDue) {
      continue;
    }
    member->stopSent = this->now;
    this->orders.stops.push_back(
      DomainBook::StopOf(member->worker,
                         DomainBook::AddressOf(aJob, aUnit, index),
                         aUnit.Run(),
                         CauseToStop(aJob, aUnit)));
  }
}

bool
DomainPass::IsWaiting(const JobBook& aJob, const TaskUnit& aUnit) const
{
  if (aUnit.Done() || !aUnit.Idle() || !aJob.IsItsTurn(aUnit)) {
    return false;
  }
  const JobPlan& plan = aJob.Job().Plan();
  return !plan.IsTimed() ||
         this->wallTime >=
           plan.FirstDue() + aUnit.Occurrence() * plan.Interval() + kDueMargin;
}

std::vector<WaitingGroup>
DomainPass::Waiting() const
{
  std::vector<WaitingGroup> groups;
  for (const JobKey& key : this->book->Active()) {
    const JobBook& job = *this->book->FindJob(key);
    if (!job.Final()) {
      this->CollectWaiting(job, groups);
    }
  }
  std::sort(groups.begin(), groups.end());
  return groups;
}

void
DomainPass::CollectWaiting(const JobBook& aJob,
                           std::vector<WaitingGroup>& aGroups) const
{
  const TaskUnit* previous = nullptr;
  for (std::size_t index = 0; index < aJob.Units().size(); ++index) {
    const TaskUnit& unit = aJob.Units()[index];
    if (!this->IsWaiting(aJob, unit)) {
      continue;
    }
    const bool isSameStep = previous != nullptr &&
                            previous->Occurrence() == unit.Occurrence() &&
                            previous->Step() == unit.Step();
    if (!isSameStep) {
      aGroups.push_back(
        WaitingGroup{ aJob.Job().Priority(), aJob.Job().Admitted(), {} });
    }
    aGroups.back().units.push_back(UnitRef{ aJob.Job().Key(), index });
    previous = &unit;
  }
}

void
DomainPass::Serve(const WaitingGroup& aGroup)
{
  JobBook& job = *this->book->FindJob(aGroup.units.front().job);
  TaskUnit& unit = job.Units()[aGroup.units.front().unit];
  if (job.StepOf(unit).IsGang()) {
    this->ServeGang(job, unit, aGroup.units.front());
  } else {
    this->ServeTasks(job, aGroup);
  }
}

void
DomainPass::ServeGang(JobBook& aJob, TaskUnit& aUnit, const UnitRef& aRef)
{
  if (aUnit.Count() > this->MostBesideUrgent(aJob, aJob.StepOf(aUnit))) {
    return;
  }
  const auto places = this->PlaceGang(aJob, aUnit, aRef);
  if (places) {
    this->held->Release(aRef);
    this->Start(aJob, aUnit, *places);
    return;
  }
  this->Reclaim(aJob, aUnit, aRef);
}

void
DomainPass::ServeTasks(JobBook& aJob, const WaitingGroup& aGroup)
{
  TaskUnit& first = aJob.Units()[aGroup.units.front().unit];
  const JobStep& step = aJob.StepOf(first);
  const std::int32_t count =
    std::min(static_cast<std::int32_t>(aGroup.units.size()),
             this->MostBesideUrgent(aJob, step));
  if (count < 1) {
    return;
  }
  const std::vector<FreeWorker>& workers =
    this->view.For(aJob, first, aGroup.units.front());
  std::vector<WorkerName> places =
    FindSomePlaces(workers, this->WishFor(step, count, true));
  if (places.empty() && !step.DataRack().Empty() &&
      this->Waited(aJob) >= this->NearPatience(aJob, step)) {
    places = FindSomePlaces(workers, this->WishFor(step, count, false));
  }
  for (std::size_t position = 0; position < places.size(); ++position) {
    TaskUnit& unit = aJob.Units()[aGroup.units[position].unit];
    this->Start(aJob, unit, { places[position] });
  }
  if (places.empty()) {
    this->Reclaim(aJob, first, aGroup.units.front());
  }
}

/** Batch work waits behind others until it may be late. */
bool
DomainPass::CanWait(const JobBook& aJob, const JobStep& aStep) const
{
  if (aJob.Job().Priority() < kFirstBatchPriority) {
    return false;
  }
  const auto typical = this->book->RunTimes().Typical(aJob.Job().Queue());
  return this->Waited(aJob) < PartOfSlack(aJob,
                                          typical.value_or(aStep.Estimate()),
                                          this->policy.BatchPatience());
}

/** Other work leaves some accelerators free, batch work more than the rest, so
 * that urgent jobs need not wait for them. */
std::int32_t
DomainPass::MostBesideUrgent(const JobBook& aJob, const JobStep& aStep)
{
  constexpr std::int32_t kNoLimit = std::numeric_limits<std::int32_t>::max();
  if (aJob.Job().Priority() == 0 || aStep.Need().Accelerators() == 0) {
    return kNoLimit;
  }
  const double share = this->CanWait(aJob, aStep) ? this->policy.BatchHeadroom()
                                                  : this->policy.Headroom();
  const ServiceName& service = aJob.Job().Service();
  const std::int64_t free = this->view.FreeAccelerators(service);
  const std::int64_t whole = this->view.WholeAccelerators(service);
  const auto kept =
    static_cast<std::int64_t>(share * static_cast<double>(whole));
  const std::int64_t needed =
    aStep.Need().Accelerators() * (aStep.IsGang() ? aStep.Count() : 1);
  if (needed > whole - kept) {
    return kNoLimit; // It would never start otherwise.
  }
  return static_cast<std::int32_t>(std::max<std::int64_t>(free - kept, 0) /
                                   aStep.Need().Accelerators());
}

void
DomainPass::Start(JobBook& aJob,
                  TaskUnit& aUnit,
                  const std::vector<WorkerName>& aPlaces)
{
  std::vector<StartOrder> starts =
    this->book->Begin(aJob, aUnit, aPlaces, this->now);
  std::move(
    starts.begin(), starts.end(), std::back_inserter(this->orders.starts));
  std::set<RackName> racks;
  for (const WorkerName& place : aPlaces) {
    this->view.Taken(aJob.Job().Service(), place);
    racks.insert(this->book->FindWorker(place)->Listing().Rack());
  }
  const JobStep& step = aJob.StepOf(aUnit);
  const bool isOffRack =
    !step.DataRack().Empty() && !racks.contains(step.DataRack());
  aUnit.SetFar(isOffRack || (step.PrefersOneRack() && racks.size() > 1));
  const auto index = static_cast<std::size_t>(&aUnit - aJob.Units().data());
  this->orders.placed.push_back(PlacedUnit{
    UnitRef{ aJob.Job().Key(), index },
    aUnit.Run(),
    aUnit.Count(),
    static_cast<std::int32_t>(racks.size()),
    CoreEquivalents(step.Need()) * static_cast<double>(aUnit.Count()),
    this->Waited(aJob) });
}

PlaceWish
DomainPass::WishFor(const JobStep& aStep,
                    std::int32_t aCount,
                    bool aIsNear) const
{
  Reason ignored; // A unit has at least one task.
  return PlaceWishBuilder()
    .Need(aStep.Need())
    .Count(aCount)
    .Rack(aIsNear ? aStep.DataRack() : RackName())
    .IsOneRack(aIsNear && aStep.PrefersOneRack())
    .Build(ignored)
    .value_or(PlaceWish());
}

std::optional<std::vector<WorkerName>>
DomainPass::PlaceGang(const JobBook& aJob,
                      const TaskUnit& aUnit,
                      const UnitRef& aRef)
{
  const JobStep& step = aJob.StepOf(aUnit);
  const PlaceWish near = this->WishFor(step, aUnit.Count(), true);
  const PlaceWish anywhere = this->WishFor(step, aUnit.Count(), false);
  auto places = this->view.Find(aJob, aUnit, aRef, near);
  if (places || near == anywhere) {
    return places;
  }
  const bool mayWait = this->Waited(aJob) < this->NearPatience(aJob, step);
  if (mayWait && CouldFit(this->view.For(aJob, aUnit, aRef), near)) {
    return std::nullopt;
  }
  return this->view.Find(aJob, aUnit, aRef, anywhere);
}

Milliseconds
DomainPass::Waited(const JobBook& aJob) const
{
  return std::chrono::duration_cast<Milliseconds>(this->now - aJob.Seen());
}

Milliseconds
DomainPass::NearPatience(const JobBook& aJob, const JobStep& aStep) const
{
  if (aJob.Job().Priority() == 0) {
    // A guaranteed job takes any rack before its time runs out.
    const auto time =
      static_cast<double>(this->book->Timing().ReclaimTime().count());
    return Milliseconds(
      static_cast<std::int64_t>(time * this->policy.UrgentNearPatience()));
  }
  return this->PartOfSlack(aJob, aStep.Estimate(), this->policy.NearPatience());
}

/** Part of the time that a job may lose and still be in time, with tasks of
 * that run time. */
Milliseconds
DomainPass::PartOfSlack(const JobBook& aJob,
                        Milliseconds aRunTime,
                        double aPart)
{
  const double slack =
    (aJob.Job().Stretch() - 1.0) * static_cast<double>(aRunTime.count()) +
    static_cast<double>(aJob.Job().Allowance().count());
  return Milliseconds(static_cast<std::int64_t>(std::max(0.0, slack * aPart)));
}

bool
DomainPass::IsGuaranteed(const JobBook& aJob) const
{
  std::int64_t needed = 0;
  for (const JobKey& key : this->book->Active()) {
    const JobBook& job = *this->book->FindJob(key);
    const bool counts = !job.Final() && job.Job().Priority() == 0 &&
                        job.Job().Team() == aJob.Job().Team();
    if (!counts) {
      continue;
    }
    std::int64_t most = 0;
    for (const JobStep& step : job.Job().Plan().Steps()) {
      most = std::max(most, step.Need().Accelerators() * step.Count());
    }
    needed += most;
  }
  return needed <= this->book->GuaranteeOf(aJob.Job().Team());
}

std::vector<PreemptibleRun>
DomainPass::PreemptibleBy(const JobBook& aJob,
                          std::vector<UnitRef>& aUnits) const
{
  std::vector<PreemptibleRun> runs;
  for (const JobKey& key : this->book->Active()) {
    JobBook& job = *this->book->FindJob(key);
    if (job.Job().Priority() <= aJob.Job().Priority()) {
      continue;
    }
    for (std::size_t unit = 0; unit < job.Units().size(); ++unit) {
      if (!job.Units()[unit].Idle()) {
        runs.push_back(this->PreemptibleRunOf(job, job.Units()[unit]));
        aUnits.push_back(UnitRef{ key, unit });
      }
    }
  }
  return runs;
}

void
DomainPass::Preempt(const UnitRef& aUnit,
                    const UnitRef& aInFavourOf,
                    double aWaste)
{
  TaskUnit& unit = this->book->FindJob(aUnit.job)->Units()[aUnit.unit];
  if (aWaste > 0.0) {
    this->orders.preempted.push_back(
      PreemptedUnit{ aUnit, unit.Run(), aInFavourOf, aWaste });
  }
  unit.Abandon(StopCause::kPreempted);
}

PreemptibleRun
DomainPass::PreemptibleRunOf(const JobBook& aJob, const TaskUnit& aUnit) const
{
  const JobStep& step = aJob.StepOf(aUnit);
  double ran = Seconds(this->now - aUnit.Began());
  if (aUnit.IsInherited()) {
    // Its workers show how far it is.
    ran = std::max(ran, aUnit.Percent() / kPercent * Seconds(step.Estimate()));
  }
  if (step.IsCheckpointing()) {
    ran = std::min(kCheckpointSeconds, ran);
  }
  PreemptibleRun run;
  const bool isEnding = aUnit.Abandoned() || aUnit.Done() || aJob.Final();
  run.waste = isEnding ? 0.0
                       : ran * CoreEquivalents(step.Need()) *
                           static_cast<double>(aUnit.Count());
  for (const MemberRun& member : aUnit.Members()) {
    if (member.phase != MemberPhase::kGone) {
      run.room.emplace_back(member.worker, step.Need());
    }
  }
  return run;
}

/** Only the most urgent jobs have others stopped: at once while little work is
 * lost by it, and whatever is lost before a guaranteed one would be late. */
void
DomainPass::Reclaim(const JobBook& aJob, TaskUnit& aUnit, const UnitRef& aRef)
{
  const bool isTried =
    aUnit.ReclaimTried() && this->now < *aUnit.ReclaimTried() + kReclaimRetry;
  if (aJob.Job().Priority() != 0 || isTried || this->held->Holds(aRef)) {
    return;
  }
  aUnit.NoteReclaimTried(this->now);
  const Milliseconds latest = this->book->Timing().ReclaimTime() -
                              this->book->Timing().StopTime() -
                              kReclaimOverhead;
  const bool isDue = this->Waited(aJob) >= latest && this->IsGuaranteed(aJob);
  const JobStep& step = aJob.StepOf(aUnit);
  const double ownWork = CoreEquivalents(step.Need()) *
                         static_cast<double>(aUnit.Count()) *
                         Seconds(step.Estimate());
  std::vector<UnitRef> refs;
  const std::vector<PreemptibleRun> runs = this->PreemptibleBy(aJob, refs);
  const std::vector<FreeWorker> workers = this->view.For(aJob, aUnit, aRef);
  for (const bool isNear : { true, false }) {
    const PlaceWish wish = this->WishFor(step, aUnit.Count(), isNear);
    const auto chosen = ChoosePreempted(workers, runs, wish);
    if (!chosen) {
      continue;
    }
    const double waste = WasteOf(runs, *chosen);
    if (!isDue && waste > this->policy.MostWaste() * ownWork) {
      continue;
    }
    for (const std::size_t position : *chosen) {
      this->Preempt(refs[position], aRef, runs[position].waste);
    }
    const auto places = FindPlaces(WithoutRuns(workers, runs, *chosen), wish);
    if (places) {
      this->held->Hold(aRef, *places, step.Need(), this->now + kHoldTime);
    }
    return;
  }
}

}
