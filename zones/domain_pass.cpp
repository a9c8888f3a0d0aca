#include "zones/domain_pass.h"

#include "contracts/progress_limits.h"
#include "zones/domain_state.h"
#include "zones/fairness/waiting_order.h"
#include "zones/locality/few_data_centres.h"
#include "zones/pace/pace_preference_choice.h"
#include "zones/place_search.h"
#include "zones/preemption_reservations.h"
#include "zones/run_monitor.h"
#include "zones/step_placement_request.h"
#include "zones/stops/departure.h"
#include "zones/work_size.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace sardinecourse {

namespace {

/** An unanswered stop is sent again after this time, which is longer than the
 * timeout of the order. */
constexpr Milliseconds kStopRetry{ 1200 };
/** The remaining members of a gang that is done end by themselves within this
 * time; they are stopped only after it. */
constexpr Milliseconds kGangEndTime{ 1500 };
/** An occurrence of a timed job starts this long after its due time on this
 * host's clock, which may differ from the platform's. */
constexpr Milliseconds kDueMargin{ 50 };
/** Queues with this priority value or a higher one hold batch work; 0 is the
 * most urgent. */
constexpr std::int32_t kFirstBatchPriority = 2;
/** A task that never ends by itself may wait 3 s while its service has ample
 * room for it; the rest of that time is for the store and the orders. */
constexpr Milliseconds kMaxAmpleRoomWait{ 2000 };
/** While jobs arrive, others are expected that need the headroom, and work away
 * from its rack takes room from them. Without an arrival for this time, room is
 * not kept for work to come. */
constexpr Milliseconds kQuietTime{ 5000 };
/** Time from the start of a term by which the workers that answer have been
 * polled, so that their room is known. */
constexpr Milliseconds kFirstPollsTime{ 1000 };
/** Max occurrences of a step that a pass considers, which bounds the memory of
 * the pass and of the units that wait. Later passes consider the others, once
 * these have started. */
constexpr std::int32_t kMaxGroupsOfStep = 100;
/** Longest wait that is computed from an estimate, in ms; about 30 years. */
constexpr double kMaxWaitMilliseconds = 1e12;

/** Number of tasks of the step that fit into what is free. */
std::int64_t
CountFitting(const std::vector<CandidateWorker>& aWorkers, const JobStep& aStep)
{
  std::int64_t fitting = 0;
  for (const CandidateWorker& worker : aWorkers) {
    fitting +=
      std::min(worker.Free().CountFitting(aStep.Need()), worker.MaxTasks());
  }
  return fitting;
}

}

DomainPass::DomainPass(DomainState& aDomain,
                       PreemptionReservations& aReservations,
                       Instant aNow,
                       WallTime aWallTime,
                       DomainPolicy aPolicy)
  : domain(&aDomain)
  , reservations(&aReservations)
  , now(aNow)
  , wallTime(aWallTime)
  , policy(aPolicy)
  , view(aDomain, aReservations, aNow)
  , reclaim(aDomain,
            aReservations,
            this->view,
            aNow,
            aWallTime,
            aPolicy.MaxPreemptionWaste())
{
  aDomain.ApplyPolicy(this->policy);
}

PassDecisions
DomainPass::Run()
{
  this->reservations->DropExpired(this->now);
  // Their units would wait for resources that they may not use.
  this->reservations->DropOn([this](const WorkerName& aWorker) {
    const TrackedWorker* worker = this->domain->FindWorker(aWorker);
    return worker != nullptr && !this->domain->OutlookOf(*worker).IsOpen();
  });
  if (WorkerPaces* paces = this->domain->Paces()) {
    paces->Fit(this->now);
    this->decisions.paceChanges = paces->TakeChanges();
  }
  if (NeighbourEffects* neighbours = this->domain->Neighbours()) {
    neighbours->Fit(this->now);
    this->decisions.disturbances = neighbours->TakeChanges();
  }
  if (this->domain->IsSweepDue(this->now)) {
    this->decisions.givenUp = RunMonitor(*this->domain, this->now).Run();
    GiveUpRunsOnLeavingWorkers(*this->domain, this->now);
  }
  this->StopUnneeded();
  for (const WaitingGroup& group : this->WaitingGroups()) {
    this->Serve(group);
  }
  this->decisions.preempted = this->reclaim.Preempted();
  return std::move(this->decisions);
}

void
DomainPass::StopUnneeded()
{
  std::vector<JobKey> retired;
  for (const JobKey& key : this->domain->Active()) {
    TrackedJob& job = *this->domain->FindJob(key);
    job.SetWait(std::nullopt);
    bool isIdle = true;
    job.ReleaseUnits();
    for (auto& [number, unit] : job.OpenUnits()) {
      if (unit.Idle()) {
        continue;
      }
      isIdle = false;
      const bool endsByItself =
        unit.Done() && this->now < unit.LastProgress() + kGangEndTime;
      const bool isUnneeded = unit.Abandoned() || unit.Done() || job.Final();
      if (isUnneeded && !endsByItself) {
        this->StopMembers(job, unit);
      }
    }
    if (job.Final() && isIdle && !job.Dirty()) {
      retired.push_back(key);
    }
  }
  for (const JobKey& key : retired) {
    NoteServed(*this->domain, *this->domain->FindJob(key), this->now);
    this->domain->Retire(key);
  }
  std::vector<StopOrder> orphans = this->domain->TakeOrphans();
  std::move(
    orphans.begin(), orphans.end(), std::back_inserter(this->decisions.stops));
}

void
DomainPass::StopMembers(TrackedJob& aJob, TaskUnit& aUnit)
{
  std::int32_t index = aUnit.First() - 1;
  for (std::size_t position = 0; position < aUnit.Members().size();
       ++position) {
    ++index;
    MemberRun* member = aUnit.Find(index, aUnit.Run());
    const bool isDue =
      member->phase != MemberPhase::kGone &&
      (!member->stopSentAt || this->now >= *member->stopSentAt + kStopRetry);
    if (!isDue) {
      continue;
    }
    member->stopSentAt = this->now;
    this->decisions.stops.push_back(
      DomainState::StopOf(member->worker,
                          DomainState::AddressOf(aJob, aUnit, index),
                          aUnit.Run(),
                          aJob.CauseToStop(aUnit)));
  }
}

bool
DomainPass::IsDue(const TrackedJob& aJob, std::int32_t aOccurrence) const
{
  const JobPlan& plan = aJob.Job().Plan();
  return !plan.IsTimed() ||
         this->wallTime >= plan.DueOf(aOccurrence) + kDueMargin;
}

std::vector<WaitingGroup>
DomainPass::WaitingGroups() const
{
  std::vector<WaitingGroup> groups;
  for (const JobKey& key : this->domain->Active()) {
    const TrackedJob& job = *this->domain->FindJob(key);
    if (!job.Final()) {
      this->CollectWaiting(job, groups);
    }
  }
  if (this->policy.IsRoomShared() && groups.size() > 1) {
    const WaitingOrder order(*this->domain, this->now);
    for (WaitingGroup& group : groups) {
      const TrackedJob& job = *this->domain->FindJob(group.job);
      group.isBeyondGuarantee = order.IsBeyondGuarantee(job);
      group.position = order.PositionOf(job);
    }
  }
  std::sort(groups.begin(), groups.end());
  return groups;
}

void
DomainPass::CollectWaiting(const TrackedJob& aJob,
                           std::vector<WaitingGroup>& aGroups) const
{
  const JobPlan& plan = aJob.Job().Plan();
  const auto stepCount = static_cast<std::int32_t>(plan.Steps().size());
  std::int64_t newTasksLeft = kMaxOpenTasks - aJob.OpenTasks();
  std::vector<std::int32_t> groupsOfStep(plan.Steps().size(), 0);
  std::int32_t fullSteps = 0;
  for (std::int32_t occurrence =
         aJob.FirstUnfinished() / aJob.UnitsPerOccurrence();
       occurrence < plan.Occurrences() && fullSteps < stepCount;
       ++occurrence) {
    if (!this->IsDue(aJob, occurrence)) {
      if (plan.Interval() < Milliseconds(0)) {
        continue;
      }
      break; // Later occurrences are due later.
    }
    for (std::int32_t step = 0; step < stepCount; ++step) {
      if (groupsOfStep[step] >= kMaxGroupsOfStep ||
          !aJob.AreDependenciesDone(occurrence, step)) {
        continue;
      }
      const std::int64_t maxNewTasks = newTasksLeft;
      const std::vector<std::int32_t> units =
        WaitingUnits(aJob, occurrence, step, newTasksLeft);
      if (!units.empty()) {
        fullSteps += ++groupsOfStep[step] >= kMaxGroupsOfStep ? 1 : 0;
        aGroups.push_back(WaitingGroup{ aJob.Job().Priority(),
                                        false,
                                        aJob.Job().Admitted(),
                                        aJob.Job().Key(),
                                        units.front(),
                                        occurrence,
                                        step,
                                        maxNewTasks });
      }
    }
  }
}

std::vector<std::int32_t>
DomainPass::WaitingUnits(const TrackedJob& aJob,
                         std::int32_t aOccurrence,
                         std::int32_t aStep,
                         std::int64_t& aNewTasksLeft)
{
  const JobStep& step = aJob.Job().Plan().Steps()[aStep];
  const std::int32_t first = aJob.FirstUnitOf(aOccurrence, aStep);
  const std::int32_t end = first + step.UnitCount();
  auto open = aJob.OpenUnits().lower_bound(first);
  std::vector<std::int32_t> units;
  for (std::int32_t number = first; number < end; ++number) {
    const bool isOpen = open != aJob.OpenUnits().end() && open->first == number;
    const TaskUnit* unit = isOpen ? &(open++)->second : nullptr;
    if (aJob.IsDone(number) || (unit != nullptr && !unit->Idle())) {
      continue;
    }
    if (unit == nullptr || !unit->IsOpen()) {
      if (step.TasksPerUnit() > aNewTasksLeft) {
        continue;
      }
      aNewTasksLeft -= step.TasksPerUnit();
    }
    units.push_back(number);
  }
  return units;
}

void
DomainPass::Serve(const WaitingGroup& aGroup)
{
  TrackedJob& job = *this->domain->FindJob(aGroup.job);
  const UnitRef first{ aGroup.job, aGroup.firstUnit };
  TaskUnit& unit = job.Open(first.unit);
  if (job.StepOf(unit).IsGang()) {
    this->ServeGang(job, unit, first);
  } else {
    this->ServeTasks(job, unit, first, aGroup);
  }
  job.Release(first.unit);
}

void
DomainPass::ServeGang(TrackedJob& aJob, TaskUnit& aUnit, const UnitRef& aRef)
{
  const bool isOverdue = this->IsOverdueInAmpleRoom(aJob, aUnit, aRef);
  if (!isOverdue &&
      aUnit.Count() > this->MaxTasksWithinHeadroom(aJob, aJob.StepOf(aUnit))) {
    this->NoteWait(aJob, aUnit, WaitReason::kHeadroom);
    return;
  }
  WaitReason reason = WaitReason::kNoRoom;
  const auto places = this->PlaceGang(aJob, aUnit, aRef, isOverdue, reason);
  if (places) {
    this->reservations->Release(aRef);
    this->Start(aJob, aUnit, *places);
    return;
  }
  this->NoteWait(aJob, aUnit, reason);
  this->reclaim.ReclaimFor(aJob, aUnit, aRef);
}

void
DomainPass::ServeTasks(TrackedJob& aJob,
                       TaskUnit& aFirst,
                       const UnitRef& aFirstRef,
                       const WaitingGroup& aGroup)
{
  const JobStep& step = aJob.StepOf(aFirst);
  std::int64_t newTasksLeft = aGroup.maxNewTasks;
  std::vector<std::int32_t> units =
    WaitingUnits(aJob, aGroup.occurrence, aGroup.step, newTasksLeft);
  const std::int32_t overdue =
    this->CountOverdueTasks(aJob, aFirst, aFirstRef, units);
  const std::int32_t limit =
    std::max(this->MaxTasksWithinHeadroom(aJob, step), overdue);
  const std::int32_t count =
    std::min(static_cast<std::int32_t>(units.size()), limit);
  if (count < 1) {
    this->NoteWait(aJob, aFirst, WaitReason::kHeadroom);
    return;
  }
  const std::vector<CandidateWorker>& workers =
    this->view.CandidatesFor(aJob, aFirst, aFirstRef);
  const PacePreference pace = this->PaceFor(aJob, aFirst);
  std::vector<WorkerName> places =
    FindSomePlaces(workers, MakePlacementRequest(step, count, true, pace));
  const bool mayWait =
    !this->view.IsClosedRack(aJob.Job().Service(), step.DataRack()) &&
    this->Waited(aJob) < this->MaxLocalityWait(aJob, step);
  if (places.empty() && !step.DataRack().Empty() && !mayWait) {
    places =
      FindSomePlaces(workers, MakePlacementRequest(step, count, false, pace));
  } else if (places.empty() && overdue > 0) {
    places =
      FindSomePlaces(workers, MakePlacementRequest(step, overdue, false, pace));
  }
  for (std::size_t position = 0; position < places.size(); ++position) {
    TaskUnit& unit = aJob.Open(units[position]);
    this->Start(aJob, unit, { places[position] });
  }
  if (places.empty()) {
    this->NoteWait(aJob,
                   aFirst,
                   mayWait && !step.DataRack().Empty() ? WaitReason::kRack
                                                       : WaitReason::kNoRoom);
    this->reclaim.ReclaimFor(aJob, aFirst, aFirstRef);
  }
}

/** Records what keeps the unit waiting, for the event log. */
void
DomainPass::NoteWait(TrackedJob& aJob,
                     const TaskUnit& aUnit,
                     WaitReason aReason)
{
  const JobStep& step = aJob.StepOf(aUnit);
  WaitCause cause;
  cause.reason = aReason;
  cause.tasks = aUnit.Count();
  cause.need = step.Need();
  if (this->domain->AreStartsWithheld(this->now)) {
    cause.reason = WaitReason::kStartsWithheld;
  } else if (aReason == WaitReason::kRack) {
    cause.until = aJob.FirstSeen() + this->MaxLocalityWait(aJob, step);
  }
  aJob.SetWait(std::move(cause));
}

/** Whether the unit has to start in ample room without headroom and away from
 * the rack that it prefers: if nothing of its job runs and no more jobs arrive,
 * at once, as a run that was given up has waited already; if its tasks never
 * end by themselves, after a short wait at any time. */
bool
DomainPass::IsOverdueInAmpleRoom(const TrackedJob& aJob,
                                 TaskUnit& aUnit,
                                 const UnitRef& aRef)
{
  const bool isEndless = aJob.StepOf(aUnit).IsEndless();
  const bool isQuiet =
    this->now >= this->domain->LastArrival() + kQuietTime &&
    this->now >= this->domain->HolderSince() + kFirstPollsTime;
  const bool isJudged = isEndless || (isQuiet && aJob.Idle());
  return this->IsOverdue(aJob.StepOf(aUnit),
                         aUnit,
                         isJudged &&
                           this->view.HasAmpleRoom(aJob, aUnit, aRef));
}

bool
DomainPass::IsOverdue(const JobStep& aStep,
                      TaskUnit& aUnit,
                      bool aHasRoom) const
{
  aUnit.NoteAmpleRoom(aHasRoom, this->now);
  // A task that lost its run with its worker is not at fault and has no reason
  // to wait.
  const bool isPaced =
    aStep.IsEndless() && (aUnit.Run() == 0 || aUnit.HasEndedByItself());
  const Milliseconds wait = isPaced ? kMaxAmpleRoomWait : Milliseconds(0);
  return aUnit.AmpleRoomSince() && this->now >= *aUnit.AmpleRoomSince() + wait;
}

std::int32_t
DomainPass::CountOverdueTasks(TrackedJob& aJob,
                              TaskUnit& aFirst,
                              const UnitRef& aFirstRef,
                              std::vector<std::int32_t>& aUnits)
{
  const JobStep& step = aJob.StepOf(aFirst);
  if (!step.IsEndless()) {
    // An overdue job gets one task started; the others go on waiting.
    return this->IsOverdueInAmpleRoom(aJob, aFirst, aFirstRef) ? 1 : 0;
  }
  // Each of them has to fit twice when its turn comes, so the last one leaves
  // room for one more.
  const std::int64_t room =
    CountFitting(this->view.CandidatesFor(aJob, aFirst, aFirstRef), step) - 1;
  std::vector<std::int32_t> overdue;
  std::vector<std::int32_t> others;
  std::optional<bool> areNewOverdue;
  for (const std::int32_t number : aUnits) {
    const auto open = aJob.OpenUnits().find(number);
    const bool isNew =
      open == aJob.OpenUnits().end() || open->second.Run() == 0;
    // Tasks without a run have waited equally long, so the first one's time is
    // kept for all of them.
    const bool isOverdue =
      isNew && areNewOverdue
        ? *areNewOverdue
        : this->IsOverdue(step, aJob.Open(number), room > 0);
    areNewOverdue = isNew ? isOverdue : areNewOverdue;
    (isOverdue ? overdue : others).push_back(number);
  }
  const auto count = static_cast<std::int64_t>(overdue.size());
  aUnits = std::move(overdue);
  aUnits.insert(aUnits.end(), others.begin(), others.end());
  return static_cast<std::int32_t>(
    std::min(count, std::max<std::int64_t>(room, 0)));
}

/** Whether batch work may still wait behind other work: it has waited less than
 * BatchWaitShare() of the slack that its objective leaves it. */
bool
DomainPass::IsDeferrable(const TrackedJob& aJob, const JobStep& aStep) const
{
  if (aJob.Job().Priority() < kFirstBatchPriority) {
    return false;
  }
  const auto typical = this->domain->RunTimes().Typical(aJob.Job().Queue());
  return this->Waited(aJob) < ShareOfSlack(aJob,
                                           typical.value_or(aStep.Estimate()),
                                           this->policy.BatchWaitShare());
}

/** Maximum number of tasks that a job may start while the headroom for urgent
 * jobs stays free. Batch work that can wait leaves more accelerators free than
 * other work, so that urgent jobs need not wait for it. */
std::int32_t
DomainPass::MaxTasksWithinHeadroom(const TrackedJob& aJob, const JobStep& aStep)
{
  constexpr std::int32_t kNoLimit = std::numeric_limits<std::int32_t>::max();
  if (aJob.Job().Priority() == 0 || aStep.Need().Accelerators() == 0) {
    return kNoLimit;
  }
  const double share = this->IsDeferrable(aJob, aStep)
                         ? this->policy.BatchHeadroom()
                         : this->policy.Headroom();
  const ServiceName& service = aJob.Job().Service();
  const std::int64_t free = this->view.FreeAccelerators(service);
  const std::int64_t total = this->view.TotalAccelerators(service);
  const auto headroom =
    static_cast<std::int64_t>(share * static_cast<double>(total));
  const std::int64_t needed =
    aStep.Need().Accelerators() * aStep.TasksPerUnit();
  if (needed > total - headroom) {
    return kNoLimit; // Beside the headroom the step would never start.
  }
  return static_cast<std::int32_t>(std::max<std::int64_t>(free - headroom, 0) /
                                   aStep.Need().Accelerators());
}

void
DomainPass::Start(TrackedJob& aJob,
                  TaskUnit& aUnit,
                  const std::vector<WorkerName>& aPlaces)
{
  std::vector<StartOrder> starts =
    this->domain->StartRun(aJob, aUnit, aPlaces, this->now);
  std::move(
    starts.begin(), starts.end(), std::back_inserter(this->decisions.starts));
  std::set<RackName> racks;
  for (const WorkerName& place : aPlaces) {
    this->view.RecordAllocation(aJob.Job().Service(), place);
    racks.insert(this->domain->FindWorker(place)->Listing().Rack());
  }
  const JobStep& step = aJob.StepOf(aUnit);
  const bool isOffDataRack =
    !step.DataRack().Empty() && !racks.contains(step.DataRack());
  aUnit.SetRemote(isOffDataRack || (step.PrefersOneRack() && racks.size() > 1));
  this->decisions.placed.push_back(
    PlacedUnit{ UnitRef{ aJob.Job().Key(), aJob.NumberOf(aUnit) },
                aUnit.Run(),
                aUnit.Count(),
                static_cast<std::int32_t>(racks.size()),
                CoreEquivalentsOf(step, aUnit.Count()),
                this->Waited(aJob) });
}

std::optional<std::vector<WorkerName>>
DomainPass::PlaceGang(const TrackedJob& aJob,
                      const TaskUnit& aUnit,
                      const UnitRef& aRef,
                      bool aIsOverdue,
                      WaitReason& aReason)
{
  const JobStep& step = aJob.StepOf(aUnit);
  const PacePreference pace = this->PaceFor(aJob, aUnit);
  const PlacementRequest local =
    MakePlacementRequest(step, aUnit.Count(), true, pace);
  const PlacementRequest anywhere =
    MakePlacementRequest(step, aUnit.Count(), false, pace);
  auto places = this->view.Find(aJob, aUnit, aRef, local);
  if (local != anywhere) {
    if (places) {
      return places;
    }
    const bool mayWait =
      !aIsOverdue && this->Waited(aJob) < this->MaxLocalityWait(aJob, step);
    if (mayWait &&
        CouldFit(this->view.CandidatesFor(aJob, aUnit, aRef), local)) {
      aReason = WaitReason::kRack;
      return std::nullopt;
    }
    places = this->view.Find(aJob, aUnit, aRef, anywhere);
  }
  if (!places) {
    return std::nullopt;
  }
  return FindPlacesInFewDataCentres(*this->domain,
                                    this->view.CandidatesFor(aJob, aUnit, aRef),
                                    anywhere,
                                    *places);
}

Milliseconds
DomainPass::Waited(const TrackedJob& aJob) const
{
  return std::chrono::duration_cast<Milliseconds>(this->now - aJob.FirstSeen());
}

PacePreference
DomainPass::PaceFor(const TrackedJob& aJob, const TaskUnit& aUnit) const
{
  const WorkerPaces* paces = this->domain->UsedPaces();
  if (paces == nullptr || !paces->IsUneven(aJob.Job().Service())) {
    return PacePreference::kNone;
  }
  const JobPlan& plan = aJob.Job().Plan();
  const Milliseconds waited =
    plan.IsTimed() ? std::chrono::duration_cast<Milliseconds>(
                       this->wallTime - plan.DueOf(aUnit.Occurrence()))
                   : this->Waited(aJob);
  return ChoosePacePreference(aJob.Job(), aUnit.Step(), waited);
}

Milliseconds
DomainPass::MaxLocalityWait(const TrackedJob& aJob, const JobStep& aStep) const
{
  if (aJob.Job().Priority() == 0) {
    // A guaranteed job accepts any rack before its reclaim time runs out.
    const auto time =
      static_cast<double>(this->domain->Timing().ReclaimTime().count());
    return Milliseconds(
      static_cast<std::int64_t>(time * this->policy.UrgentLocalityWaitShare()));
  }
  return this->ShareOfSlack(
    aJob, aStep.Estimate(), this->policy.LocalityWaitShare());
}

/** Share of the time that the job may lose and still meet its objective, given
 * the run time of its tasks. */
Milliseconds
DomainPass::ShareOfSlack(const TrackedJob& aJob,
                         Milliseconds aRunTime,
                         double aShare)
{
  const double slack =
    (aJob.Job().Stretch() - 1.0) * static_cast<double>(aRunTime.count()) +
    static_cast<double>(aJob.Job().Allowance().count());
  // A caller's estimate can be any number; its product may exceed the type.
  return Milliseconds(static_cast<std::int64_t>(
    std::clamp(slack * aShare, 0.0, kMaxWaitMilliseconds)));
}

}
