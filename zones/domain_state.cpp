#include "zones/domain_state.h"

#include "contracts/domain_policy.h"
#include "contracts/domain_usage_builder.h"
#include "contracts/task_address_builder.h"
#include "contracts/worker_report.h"
#include "core/reason.h"
#include "zones/job_intake.h"
#include "zones/pace/measured_run.h"
#include "zones/start_order_builder.h"
#include "zones/stop_order_builder.h"
#include "zones/worker_outlook_builder.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace sardinecourse {

namespace {

/** Leases and progress change over seconds, so checks need not be more
 * frequent. */
constexpr Milliseconds kSweepInterval{ 100 };
/** Most callers ask for a job's state shortly after its end, while it takes one
 * read instead of two. */
constexpr Milliseconds kArchiveDelay{ 2000 };
/** Age from which no order to an earlier incarnation of a worker can exceed the
 * granted lease. A holder learns of a restart, or stops renewing, within the
 * time of a poll (2.5 s); the order may be carried out kMaxOrderDelay later.
 * The rest covers differences between times of day. */
constexpr Milliseconds kMinSettledAge{ 25'000 };
/** Covers workers whose clocks run 2% slow, over the longest lease. */
constexpr Milliseconds kLeaseMargin{ 500 };
/** Time without an answer after which the bound of a worker's leases is stored.
 * It exceeds the pause after a failed poll, so that a single refused call
 * stores nothing, and is short beside the time between two holders. */
constexpr Milliseconds kMinSilence{ 500 };
/** Encoded size of a lease bound beside its worker's name. */
constexpr std::size_t kBoundBytes = 40;
/** The bounds are stored in one row, whose encoding must not exceed 64 KB. */
constexpr std::size_t kMaxBoundsBytes = 40'000;

std::uint64_t
CombineHashes(std::uint64_t aHash, std::uint64_t aValue)
{
  constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15;
  return aHash ^ (aValue + kGoldenRatio + (aHash << 6U) + (aHash >> 2U));
}

}

DomainState::DomainState(DomainTiming aTiming,
                         Instant aHolderSince,
                         Instant aRenewedUntil)
  : timing(aTiming)
  , holderSince(aHolderSince)
  , renewedUntil(aRenewedUntil)
{
}

void
DomainState::AddJob(AdmittedJob aJob,
                    const std::optional<JobProgress>& aProgress,
                    std::int64_t aRevision,
                    Instant aNow,
                    Milliseconds aAge)
{
  const JobKey key = aJob.Key();
  // A row that was read before its job was archived may be applied after it.
  if (this->archived.contains(key)) {
    return;
  }
  const auto [position, isNew] =
    this->jobs.emplace(key, TrackedJob(std::move(aJob), aNow));
  if (!isNew) {
    return;
  }
  this->lastArrival = std::max(this->lastArrival, aNow - aAge);
  TrackedJob& job = position->second;
  this->usedBytes[job.Job().Team()] += IntakeBytesOf(job.Job().Plan());
  if (aProgress) {
    job.Restore(*aProgress);
  }
  job.MarkStored(0, aRevision);
  this->active.insert(key);
  for (const auto& [number, unit] : job.OpenUnits()) {
    for (const MemberRun& member : unit.Members()) {
      if (TrackedWorker* worker = this->FindWorker(member.worker)) {
        this->AllocateResources(job, unit, *worker);
      } else if (member.phase != MemberPhase::kGone) {
        this->unlistedPlaces.insert(member.worker);
      }
    }
  }
}

/** Runs that an earlier holder placed use resources of the worker from the
 * start. */
void
DomainState::AllocateResources(const TrackedJob& aJob,
                               const TaskUnit& aUnit,
                               TrackedWorker& aWorker)
{
  std::int32_t index = aUnit.First();
  for (const MemberRun& member : aUnit.Members()) {
    if (member.worker == aWorker.Listing().Name() &&
        member.phase != MemberPhase::kGone) {
      aWorker.Add(AddressOf(aJob, aUnit, index), aJob.StepOf(aUnit).Need());
    }
    ++index;
  }
}

void
DomainState::CancelJob(const JobKey& aJob, Instant aNow)
{
  TrackedJob* job = this->FindJob(aJob);
  if (job != nullptr && job->State() != JobState::kCancelled) {
    job->Cancel(aNow);
    this->active.insert(aJob);
  }
}

TrackedJob*
DomainState::FindJob(const JobKey& aJob)
{
  const auto found = this->jobs.find(aJob);
  return found == this->jobs.end() ? nullptr : &found->second;
}

void
DomainState::SetGuarantees(std::map<TeamName, std::int64_t> aGuarantees)
{
  this->guarantees = std::move(aGuarantees);
}

std::int64_t
DomainState::GuaranteeOf(const TeamName& aTeam) const
{
  const auto found = this->guarantees.find(aTeam);
  return found == this->guarantees.end() ? 0 : found->second;
}

void
DomainState::SetQueueNames(std::map<QueueAddress, QueueName> aNames)
{
  this->queueNames = std::move(aNames);
}

const QueueName&
DomainState::CurrentQueueName(const AdmittedJob& aJob) const
{
  const auto found = this->queueNames.find(aJob.Address());
  return found == this->queueNames.end() ? aJob.Queue() : found->second;
}

void
DomainState::ListWorker(const WorkerListing& aListing, Instant aNow)
{
  const auto [position, isNew] =
    this->workers.try_emplace(aListing.Name(), aListing);
  position->second.List(aListing, aNow);
  if (!isNew) {
    return;
  }
  position->second.SetWithheld(this->leaseBounds.MayBeStored(aListing.Name()));
  position->second.SetShortLease(
    this->leavingLeases.MayBeStored(aListing.Name()));
  for (const JobKey& key : this->active) {
    const TrackedJob& job = this->jobs.at(key);
    for (const auto& [number, unit] : job.OpenUnits()) {
      this->AllocateResources(job, unit, position->second);
    }
  }
}

void
DomainState::UnlistWorker(const WorkerName& aWorker)
{
  if (TrackedWorker* worker = this->FindWorker(aWorker)) {
    worker->Unlist();
  }
}

TrackedWorker*
DomainState::FindWorker(const WorkerName& aWorker)
{
  const auto found = this->workers.find(aWorker);
  return found == this->workers.end() ? nullptr : &found->second;
}

WorkerOutlook
DomainState::OutlookOf(const TrackedWorker& aWorker) const
{
  const WorkerPaces* used = this->UsedPaces();
  Reason ignored; // A measured pace is positive.
  return WorkerOutlookBuilder()
    .IsOpen(!this->evacuations.IsClosed(aWorker.Listing().DataCentre()))
    .Pace(used == nullptr ? 1.0
                          : used->PaceOf(aWorker.Listing().Service(),
                                         aWorker.Listing().Name()))
    .Build(ignored)
    .value_or(WorkerOutlook());
}

std::optional<NeighbourEffects::Kind>
DomainState::DisturbedKindOf(const TrackedJob& aJob,
                             const TaskUnit& aUnit) const
{
  if (!this->neighbours || !this->neighbours->HasEffects()) {
    return std::nullopt;
  }
  const auto kind = this->neighbours->FindKind(KindOfWorkOf(aJob, aUnit));
  return kind && this->neighbours->HasEffects(*kind) ? kind : std::nullopt;
}

WorkerOutlook
DomainState::OutlookFor(const WorkerName& aWorker,
                        const WorkerOutlook& aOutlook,
                        NeighbourEffects::Kind aKind) const
{
  Reason ignored; // Slowdowns are not negative.
  return WorkerOutlookBuilder()
    .IsOpen(aOutlook.IsOpen())
    .Pace(aOutlook.Pace())
    .Disturbance(this->neighbours->DisturbanceOn(aWorker, aKind))
    .Build(ignored)
    .value_or(aOutlook);
}

void
DomainState::ApplyPolicy(const DomainPolicy& aPolicy)
{
  this->isPaceUsed = aPolicy.IsPaceUsed();
  if (aPolicy.IsPaceUsed() || aPolicy.AreKindsSeparated()) {
    this->MeasurePaces();
  }
  if (aPolicy.AreKindsSeparated() && !this->neighbours) {
    this->neighbours.emplace();
  }
}

KindOfWork
DomainState::KindOfWorkOf(const TrackedJob& aJob, const TaskUnit& aUnit)
{
  return KindOfWork{ aJob.Job().Service(),
                     aJob.Job().Queue(),
                     aJob.StepOf(aUnit).Need() };
}

void
DomainState::NoteNeighbours(const TrackedWorker& aWorker,
                            const WorkerReport& aReport)
{
  const WorkerName& name = aWorker.Listing().Name();
  std::vector<NeighbourEffects::ReportedRun> runs;
  for (const RunningTask& running : aReport.Running()) {
    const auto [job, unit, member] =
      this->FindRun(running.Task(), running.Run());
    if (member == nullptr || member->worker != name) {
      continue;
    }
    const auto kind = this->neighbours->KindOf(KindOfWorkOf(*job, *unit));
    if (kind) {
      runs.push_back(NeighbourEffects::ReportedRun{
        this->MeasuredRunOf(*job, *unit, running.Task().Index()).run, *kind });
    }
  }
  for (const auto& ended : this->neighbours->NoteReport(name, runs)) {
    const auto deviation =
      this->paces->DeviationOf(aWorker.Listing().Service(), name, ended.run);
    if (deviation) {
      this->neighbours->NoteRate(ended, *deviation);
    }
  }
}

void
DomainState::SetEvacuations(EvacuationView aView)
{
  this->evacuations = std::move(aView);
}

StartAdmission
DomainState::AdmitStartOn(const WorkerName& aWorker, Instant aNow) const
{
  const auto found = this->workers.find(aWorker);
  const DataCentreName dataCentre = found == this->workers.end()
                                      ? DataCentreName()
                                      : found->second.Listing().DataCentre();
  return AdmitStart(dataCentre, this->evacuations, this->timing, aNow);
}

bool
DomainState::AreStartsWithheld(Instant aNow) const
{
  return !IsCurrent(this->evacuations, this->timing, aNow);
}

void
DomainState::MeasurePaces()
{
  if (this->paces) {
    return;
  }
  this->paces.emplace();
  for (const auto& [name, worker] : this->workers) {
    if (worker.HasAnswered() && !worker.IsReplaced()) {
      this->paces->BeginIncarnation(worker.Listing().Service(),
                                    name,
                                    worker.Incarnation(),
                                    worker.LastReport());
    }
  }
}

void
DomainState::LoadPaces(const PaceRecords& aRecords, Instant aNow)
{
  this->MeasurePaces();
  this->paces->Load(aRecords, aNow);
}

double
DomainState::PaceOf(const TaskUnit& aUnit) const
{
  const WorkerPaces* used = this->UsedPaces();
  if (used == nullptr || aUnit.Members().empty()) {
    return 1.0;
  }
  double slowest = std::numeric_limits<double>::max();
  for (const MemberRun& member : aUnit.Members()) {
    const auto found = this->workers.find(member.worker);
    const double pace =
      found == this->workers.end()
        ? 1.0
        : used->PaceOf(found->second.Listing().Service(), member.worker);
    slowest = std::min(slowest, pace);
  }
  return slowest;
}

bool
DomainState::MayStillRun(const WorkerName& aWorker, Instant aNow) const
{
  return aNow <= this->LeaseBoundOf(aWorker, aNow);
}

Instant
DomainState::LeaseBoundOf(const WorkerName& aWorker, Instant aNow) const
{
  const auto found = this->workers.find(aWorker);
  const TrackedWorker* worker =
    found == this->workers.end() ? nullptr : &found->second;
  if (worker != nullptr && worker->IsReplaced()) {
    return Instant();
  }
  if (worker != nullptr && worker->HasAnswered()) {
    return aNow + worker->LeaseLeft(aNow);
  }
  // Leases are granted only to workers that answer, so a bound that an earlier
  // holder stored holds however many holders came after it. It also covers
  // orders of that holder to an earlier incarnation of the worker.
  if (const auto bound = this->leaseBounds.StoredFor(aWorker)) {
    return *bound;
  }
  if (const auto longest = this->leavingLeases.StoredFor(aWorker)) {
    return std::max(*longest,
                    this->renewedUntil + this->timing.LeavingLease() +
                      kLeaseMargin);
  }
  return this->renewedUntil + this->timing.GrantedLease() + kLeaseMargin;
}

bool
DomainState::IsUnreachable(const WorkerName& aWorker, Instant aNow) const
{
  const auto found = this->workers.find(aWorker);
  if (found == this->workers.end()) {
    return true; // Not listed to this holder, which does not poll it.
  }
  const TrackedWorker& worker = found->second;
  const bool isPolled = worker.Listed() || worker.HasAnswered();
  return !isPolled || (worker.IsPollFailed() &&
                       aNow >= this->SilentSince(aWorker) + kMinSilence);
}

std::map<WorkerName, Instant>
DomainState::WantedLeaseBounds(Instant aNow) const
{
  std::map<WorkerName, Instant> wanted;
  std::size_t bytes = 0;
  for (const auto& [name, until] : this->leaseBounds.Stored()) {
    const auto found = this->workers.find(name);
    const bool isAnswering =
      found != this->workers.end() && found->second.IsAnswering();
    // The next holder may still load the runs from progress that was stored
    // before they were given up.
    const Instant keptUntil =
      std::max(until, this->holderSince) + this->timing.RestartTime();
    if (!isAnswering && aNow < keptUntil) {
      wanted.emplace(name, until);
      bytes += name.Text().size() + kBoundBytes;
    }
  }
  const auto add = [&](const WorkerName& aWorker) {
    const Instant until = this->LeaseBoundOf(aWorker, aNow);
    const bool isNeeded = !wanted.contains(aWorker) && until > aNow &&
                          !this->leaseBounds.StoredFor(aWorker) &&
                          this->IsUnreachable(aWorker, aNow);
    if (isNeeded && bytes < kMaxBoundsBytes) {
      wanted.emplace(aWorker, until);
      bytes += aWorker.Text().size() + kBoundBytes;
    }
  };
  for (const auto& [name, worker] : this->workers) {
    if (!worker.IsAnswering() && !worker.Tasks().empty()) {
      add(name);
    }
  }
  std::for_each(this->unlistedPlaces.begin(), this->unlistedPlaces.end(), add);
  return wanted;
}

void
DomainState::AdoptLeaseBounds(const LeaseBounds& aStored,
                              std::int64_t aKeptSince,
                              const StoreClock& aClock)
{
  this->leaseBounds.Adopt(aStored, aKeptSince, aClock);
  this->UpdateWithheld();
}

std::map<WorkerName, Instant>
DomainState::WantedLeavingLeases(Instant aNow) const
{
  std::map<WorkerName, Instant> wanted;
  std::size_t bytes = 0;
  const auto add = [&](const WorkerName& aWorker, Instant aUntil) {
    bytes += aWorker.Text().size() + kBoundBytes;
    if (bytes < kMaxBoundsBytes) {
      wanted.emplace(aWorker, aUntil);
    }
  };
  for (const auto& [name, until] : this->leavingLeases.Stored()) {
    const auto found = this->workers.find(name);
    const bool isAnswering =
      found != this->workers.end() && found->second.IsAnswering();
    // The next holder may still load the runs of a worker that is gone.
    const bool isGone = !isAnswering && aNow < this->SilentSince(name) +
                                                 this->timing.RestartTime();
    if (isGone) {
      add(name, until);
    }
  }
  for (const auto& [name, worker] : this->workers) {
    // What is stored of the former incarnation does not hold for the next one.
    const bool isSameProcess = !worker.HasRestarted() && !worker.IsReplaced();
    if (!worker.IsAnswering() || !worker.LeavingSince() || !isSameProcess) {
      continue;
    }
    const Instant until = aNow + worker.LeaseLeft(aNow);
    const auto stored = this->leavingLeases.StoredFor(name);
    // The estimate of what is left differs a little with each report. It is far
    // longer when the worker may have restarted before its first report to this
    // holder; the row is withdrawn then.
    const Instant covered =
      std::max(stored.value_or(until), aNow + this->timing.LeavingLease()) +
      kLeaseMargin;
    const bool isWanted = stored ? until <= covered : !worker.Tasks().empty();
    if (isWanted) {
      add(name, until);
    }
  }
  return wanted;
}

void
DomainState::AdoptLeavingLeases(const LeaseBounds& aStored,
                                std::int64_t aKeptSince,
                                const StoreClock& aClock)
{
  this->leavingLeases.Adopt(aStored, aKeptSince, aClock);
  this->UpdateWithheld();
}

LeaseBounds
DomainState::PlanLeavingLeases(std::int64_t aTerm,
                               const StoreClock& aClock,
                               Instant aNow)
{
  LeaseBounds planned =
    this->leavingLeases.Plan(this->WantedLeavingLeases(aNow), aTerm, aClock);
  this->UpdateWithheld();
  return planned;
}

bool
DomainState::AreLeaseBoundsDue(Instant aNow) const
{
  return this->leaseBounds.IsDue(this->WantedLeaseBounds(aNow)) ||
         this->leavingLeases.IsDue(this->WantedLeavingLeases(aNow));
}

LeaseBounds
DomainState::PlanLeaseBounds(std::int64_t aTerm,
                             const StoreClock& aClock,
                             Instant aNow)
{
  LeaseBounds planned =
    this->leaseBounds.Plan(this->WantedLeaseBounds(aNow), aTerm, aClock);
  this->UpdateWithheld();
  return planned;
}

void
DomainState::LeaseBoundsAnswered(WriteOutcome aOutcome)
{
  this->leaseBounds.Answered(aOutcome);
  this->leavingLeases.Answered(aOutcome);
  this->UpdateWithheld();
}

void
DomainState::UpdateWithheld()
{
  for (auto& [name, worker] : this->workers) {
    worker.SetWithheld(this->leaseBounds.MayBeStored(name));
    worker.SetShortLease(this->leavingLeases.MayBeStored(name));
  }
}

Instant
DomainState::SilentSince(const WorkerName& aWorker) const
{
  const auto found = this->workers.find(aWorker);
  const bool hasAnswered =
    found != this->workers.end() && found->second.HasAnswered();
  return hasAnswered ? found->second.LastReport() : this->holderSince;
}

TaskAddress
DomainState::AddressOf(const TrackedJob& aJob,
                       const TaskUnit& aUnit,
                       std::int32_t aIndex)
{
  Reason ignored; // The job is tracked, so it has a key.
  return TaskAddressBuilder()
    .Job(aJob.Job().Key())
    .Occurrence(aUnit.Occurrence())
    .Step(aUnit.Step())
    .Index(aIndex)
    .Build(ignored)
    .value_or(TaskAddress());
}

StopOrder
DomainState::StopOf(const WorkerName& aWorker,
                    const TaskAddress& aTask,
                    std::int64_t aRun,
                    StopCause aCause)
{
  Reason ignored; // Only the worker's name is checked, and it is set.
  return StopOrderBuilder()
    .Worker(aWorker)
    .Task(aTask)
    .Run(aRun)
    .Cause(aCause)
    .Build(ignored)
    .value_or(StopOrder());
}

DomainState::FoundRun
DomainState::FindRun(const TaskAddress& aTask, std::int64_t aRun)
{
  FoundRun found;
  found.job = this->FindJob(aTask.Job());
  if (found.job != nullptr) {
    found.unit = found.job->Find(aTask);
  }
  if (found.unit != nullptr) {
    found.member = found.unit->Find(aTask.Index(), aRun);
  }
  return found;
}

std::vector<ReportedEnd>
DomainState::ApplyReport(const WorkerName& aWorker,
                         const WorkerReport& aReport,
                         Instant aSent,
                         Instant aReceived)
{
  TrackedWorker* worker = this->FindWorker(aWorker);
  if (worker == nullptr) {
    return {};
  }
  const bool isFirst = !worker->HasAnswered();
  const bool isRestarted =
    worker->RecordAnswer(aReport.Incarnation(), aReport.ClockMs(), aReceived);
  this->RecordEarlierLeases(*worker, aReport, isFirst, isRestarted);
  if ((isFirst || isRestarted) && this->paces) {
    this->paces->BeginIncarnation(
      worker->Listing().Service(), aWorker, aReport.Incarnation(), aReceived);
  }
  std::vector<ReportedEnd> newEnds;
  for (const EndedTask& end : aReport.Ended()) {
    auto reported = this->ApplyEnd(*worker, end, aReceived);
    if (reported) {
      newEnds.push_back(std::move(*reported));
    }
  }
  StrayUsage strays;
  for (const RunningTask& running : aReport.Running()) {
    this->ApplyRunning(*worker, running, aReceived, strays);
  }
  worker->SetStrayUsage(strays);
  if (this->neighbours) {
    this->NoteNeighbours(*worker, aReport);
  }
  this->ApplyMissing(*worker, aReport, isRestarted, aSent);
  return newEnds;
}

void
DomainState::RecordEarlierLeases(TrackedWorker& aWorker,
                                 const WorkerReport& aReport,
                                 bool aIsFirst,
                                 bool aIsRestarted)
{
  // The deadline of an order is a time on the clock of the incarnation that it
  // was sent to. For another one it may lie far ahead, and then only the
  // worker's own maximum bounds the lease.
  const bool isRenewedLate = aWorker.Fence().NoteAnswer(aIsRestarted);
  // Orders of earlier holders are refused from this answer on.
  const bool isYoung = !aReport.Age() || *aReport.Age() < kMinSettledAge;
  const std::int64_t clockMs = aReport.ClockMs();
  if (isRenewedLate || aIsRestarted || (aIsFirst && isYoung)) {
    aWorker.RecordLease(clockMs + this->timing.WorkerLease().count());
    ++this->longLeases;
  } else if (aIsFirst) {
    aWorker.RecordLease(clockMs + this->timing.GrantedLease().count());
  }
  if (aWorker.Fence().MayBeLate()) {
    aWorker.RecordLateLease(clockMs + DomainTiming::kMaxOrderDelay.count() +
                            this->timing.WorkerLease().count());
  }
}

std::optional<ReportedEnd>
DomainState::ApplyEnd(TrackedWorker& aWorker,
                      const EndedTask& aEnd,
                      Instant aNow)
{
  if (!aWorker.NoteEnd(aEnd.Number())) {
    return std::nullopt;
  }
  const auto [job, unit, member] = this->FindRun(aEnd.Task(), aEnd.Run());
  if (unit == nullptr) {
    aWorker.AddUnstoredEnd(aEnd.Number(), aEnd.Task().Job(), 0);
    return ReportedEnd{ aEnd, StopCause::kOrphan };
  }
  const StopCause cause =
    aEnd.Run() == unit->Run() ? job->CauseToStop(*unit) : StopCause::kOrphan;
  unit->MarkEverStarted();
  const bool wasOnWorker =
    member != nullptr && member->worker == aWorker.Listing().Name();
  if (wasOnWorker) {
    this->MarkMemberGone(*job, *unit, aEnd.Task().Index());
  }
  if (aEnd.Outcome() == RunOutcome::kDone && aEnd.Run() == unit->Run()) {
    this->NoteRunTime(*job, *unit, aNow);
  }
  if (!job->Final() &&
      job->RecordEnd(*unit, aEnd.Run(), aEnd.Outcome(), aEnd.Saved())) {
    job->MarkDirty();
    job->UpdateState(aNow);
  }
  if (aEnd.Outcome() == RunOutcome::kDone) {
    aWorker.NoteSuccess();
  } else if (aEnd.Outcome() == RunOutcome::kFailed) {
    aWorker.NoteFailure(aEnd.Task().Job(), aNow);
  }
  aWorker.AddUnstoredEnd(aEnd.Number(), aEnd.Task().Job(), job->Version());
  return ReportedEnd{ aEnd, cause };
}

void
DomainState::NoteRunTime(const TrackedJob& aJob,
                         const TaskUnit& aUnit,
                         Instant aNow)
{
  if (aUnit.Done() || aUnit.IsResumed() || !aUnit.AllRunningSince() ||
      aJob.StepOf(aUnit).IsEndless()) {
    return;
  }
  const std::chrono::duration<double, std::milli> ran =
    aNow - *aUnit.AllRunningSince();
  // The queue's run time is that of a typical worker near the data.
  const double factor =
    (aUnit.IsRemote() ? this->timing.RemoteSlowdown() : 1.0) /
    this->PaceOf(aUnit);
  this->runTimes.Note(aJob.Job().Queue(),
                      std::chrono::duration_cast<Milliseconds>(ran / factor));
  if (this->paces && aUnit.Count() == 1) {
    const WorkerName& worker = aUnit.Members().front().worker;
    this->paces->NoteDone(aJob.Job().Service(),
                          worker,
                          this->MeasuredRunOf(aJob, aUnit, aUnit.First()),
                          ran.count(),
                          aNow);
  }
}

/** That a run is remote is not stored, so it is derived from the racks of a run
 * that an earlier holder started. */
bool
DomainState::IsRemote(const TrackedJob& aJob, const TaskUnit& aUnit) const
{
  if (!aUnit.IsInherited()) {
    return aUnit.IsRemote();
  }
  const JobStep& step = aJob.StepOf(aUnit);
  std::set<RackName> racks;
  for (const MemberRun& member : aUnit.Members()) {
    const auto worker = this->workers.find(member.worker);
    if (worker != this->workers.end()) {
      racks.insert(worker->second.Listing().Rack());
    }
  }
  const bool isOffDataRack =
    !step.DataRack().Empty() && !racks.contains(step.DataRack());
  return isOffDataRack || (step.PrefersOneRack() && racks.size() > 1);
}

MeasuredRun
DomainState::MeasuredRunOf(const TrackedJob& aJob,
                           const TaskUnit& aUnit,
                           std::int32_t aIndex) const
{
  const JobStep& step = aJob.StepOf(aUnit);
  const double factor =
    this->IsRemote(aJob, aUnit) ? this->timing.RemoteSlowdown() : 1.0;
  MeasuredRun run;
  run.step = CombineHashes(std::hash<JobKey>()(aJob.Job().Key()),
                           static_cast<std::uint64_t>(aUnit.Step()));
  run.run =
    CombineHashes(run.step, static_cast<std::uint64_t>(aUnit.Occurrence()));
  run.run = CombineHashes(run.run, static_cast<std::uint64_t>(aIndex));
  run.run = CombineHashes(run.run, static_cast<std::uint64_t>(aUnit.Run()));
  run.estimateMs = static_cast<double>(step.Estimate().count()) * factor;
  run.isGangMember = aUnit.Count() > 1;
  const auto worker = this->workers.find(
    aUnit.Members()[static_cast<std::size_t>(aIndex - aUnit.First())].worker);
  if (aUnit.AllRunningSince() && !aUnit.IsResumed() &&
      worker != this->workers.end()) {
    run.beganMs = worker->second.ClockAt(*aUnit.AllRunningSince());
  }
  return run;
}

void
DomainState::ApplyRunning(TrackedWorker& aWorker,
                          const RunningTask& aRunning,
                          Instant aNow,
                          StrayUsage& aStrays)
{
  const auto [job, unit, member] =
    this->FindRun(aRunning.Task(), aRunning.Run());
  if (member != nullptr && member->worker == aWorker.Listing().Name() &&
      member->phase != MemberPhase::kGone) {
    unit->MarkEverStarted();
    if (member->phase != MemberPhase::kRunning) {
      unit->MarkRunning(*member, aNow);
    }
    unit->UpdateProgress(*member, aRunning.Percent(), aRunning.Saved(), aNow);
    if (this->paces && !job->StepOf(*unit).IsEndless()) {
      this->paces->NoteProgress(
        job->Job().Service(),
        aWorker.Listing().Name(),
        this->MeasuredRunOf(*job, *unit, aRunning.Task().Index()),
        aRunning.Percent(),
        aWorker.ClockAt(aNow),
        aNow);
    }
    return;
  }
  if (unit != nullptr) {
    aStrays.known = aStrays.known.Plus(job->StepOf(*unit).Need());
  } else {
    aStrays.hasUnknown = true;
  }
  this->orphans.push_back(StopOf(aWorker.Listing().Name(),
                                 aRunning.Task(),
                                 aRunning.Run(),
                                 StopCause::kOrphan));
}

void
DomainState::ApplyMissing(TrackedWorker& aWorker,
                          const WorkerReport& aReport,
                          bool aIsRestarted,
                          Instant aSent)
{
  // A run that a truncated report does not list may have ended; its end is in a
  // later report, after the listed ones are acknowledged. A restart ends all
  // runs in any case.
  if (aReport.IsTruncated() && !aIsRestarted) {
    return;
  }
  std::set<TaskAddress> listed;
  for (const RunningTask& running : aReport.Running()) {
    listed.insert(running.Task());
  }
  // MarkMemberGone() changes the worker's set of tasks, so the loop runs over a
  // copy.
  const std::vector<TaskAddress> tasks(aWorker.Tasks().begin(),
                                       aWorker.Tasks().end());
  for (const TaskAddress& task : tasks) {
    if (listed.contains(task)) {
      continue;
    }
    TrackedJob* job = this->FindJob(task.Job());
    TaskUnit* unit = job == nullptr ? nullptr : job->Find(task);
    MemberRun* member =
      unit == nullptr ? nullptr : unit->Find(task.Index(), unit->Run());
    if (member == nullptr || member->worker != aWorker.Listing().Name()) {
      continue;
    }
    const bool isRunning = member->phase == MemberPhase::kRunning;
    const bool isUncertain = member->phase == MemberPhase::kUncertain;
    const bool isStopped =
      member->stopAnsweredAt && *member->stopAnsweredAt < aSent;
    const bool isTooLate = !aIsRestarted &&
                           member->incarnation == aReport.Incarnation() &&
                           aReport.ClockMs() > member->startDeadlineMs;
    if (aIsRestarted && isUncertain) {
      // The start may still reach the restarted process, which has no record of
      // the earlier stop.
      member->stopAnsweredAt.reset();
      member->stopSentAt.reset();
      continue;
    }
    if ((isRunning && (member->startResolvedAt < aSent || aIsRestarted)) ||
        (isUncertain && (isStopped || isTooLate))) {
      this->MarkMemberGone(*job, *unit, task.Index());
      unit->Abandon(StopCause::kNotListed);
    }
  }
}

std::int64_t
DomainState::GrantLease(const WorkerName& aWorker, Instant aNow)
{
  TrackedWorker* worker = this->FindWorker(aWorker);
  if (worker == nullptr) {
    return 0;
  }
  worker->Fence().NotePoll();
  // After a failed poll no lease is granted. A lease ordered repeatedly without
  // an answer would have to count as granted, and the runs of an unreachable
  // worker would never be given up.
  if (!worker->IsIncarnationConfirmed()) {
    return 0;
  }
  const Milliseconds lease = worker->HasShortLease()
                               ? this->timing.LeavingLease()
                               : this->timing.GrantedLease();
  const std::int64_t until = worker->ClockAt(aNow) + lease.count();
  worker->RecordLease(until);
  worker->Fence().NoteRenewal();
  return until;
}

std::int64_t
DomainState::FenceOf(const WorkerName& aWorker) const
{
  const auto found = this->workers.find(aWorker);
  return found == this->workers.end() ? 0 : found->second.Fence().Current();
}

void
DomainState::WorkerReplaced(const WorkerName& aWorker)
{
  if (TrackedWorker* worker = this->FindWorker(aWorker)) {
    worker->MarkReplaced();
    if (this->paces) {
      this->paces->EndIncarnation(worker->Listing().Service(), aWorker);
    }
  }
}

void
DomainState::PollFailed(const WorkerName& aWorker)
{
  if (TrackedWorker* worker = this->FindWorker(aWorker)) {
    worker->PollFailed();
  }
}

std::optional<std::int64_t>
DomainState::StartDeadlineMs(const StartOrder& aOrder, Instant aNow)
{
  const auto [job, unit, member] = this->FindRun(aOrder.Task(), aOrder.Run());
  TrackedWorker* worker = this->FindWorker(aOrder.Worker());
  const bool isStillNeeded =
    job != nullptr && !job->Final() && member != nullptr &&
    member->phase == MemberPhase::kOrdered && !member->stopSentAt &&
    worker != nullptr && !worker->IsWithheld();
  if (!isStillNeeded ||
      this->AdmitStartOn(aOrder.Worker(), aNow) != StartAdmission::kOpen) {
    return std::nullopt;
  }
  member->startDeadlineMs =
    worker->ClockAt(aNow) + DomainTiming::kStartWindow.count();
  worker->RecordLease(member->startDeadlineMs);
  worker->Fence().NoteRenewal();
  return member->startDeadlineMs;
}

void
DomainState::StartAnswered(const StartOrder& aOrder, Instant aNow)
{
  if (TrackedWorker* worker = this->FindWorker(aOrder.Worker())) {
    worker->NoteAcceptedStart();
  }
  const auto [job, unit, member] = this->FindRun(aOrder.Task(), aOrder.Run());
  if (member != nullptr && member->phase == MemberPhase::kOrdered) {
    unit->MarkEverStarted();
    unit->MarkRunning(*member, aNow);
  }
}

void
DomainState::StartRefused(const StartOrder& aOrder, Instant aNow)
{
  if (TrackedWorker* worker = this->FindWorker(aOrder.Worker())) {
    worker->NoteRefusedStart(aNow);
  }
  this->StartDropped(aOrder);
}

void
DomainState::StartDropped(const StartOrder& aOrder)
{
  const auto [job, unit, member] = this->FindRun(aOrder.Task(), aOrder.Run());
  if (member != nullptr && member->phase == MemberPhase::kOrdered) {
    this->MarkMemberGone(*job, *unit, aOrder.Task().Index());
    unit->Abandon(StopCause::kStartRefused);
  }
}

void
DomainState::StartUnanswered(const StartOrder& aOrder, Instant aNow)
{
  const auto [job, unit, member] = this->FindRun(aOrder.Task(), aOrder.Run());
  if (member != nullptr && member->phase == MemberPhase::kOrdered) {
    member->phase = MemberPhase::kUncertain;
    member->startResolvedAt = aNow;
    this->PollFailed(aOrder.Worker());
    unit->Abandon(StopCause::kStartUnanswered);
  }
}

void
DomainState::StopAnswered(const StopOrder& aOrder, Instant aNow)
{
  MemberRun* member = this->FindRun(aOrder.Task(), aOrder.Run()).member;
  if (member != nullptr && !member->stopAnsweredAt) {
    member->stopAnsweredAt = aNow;
  }
}

std::vector<StartOrder>
DomainState::StartRun(TrackedJob& aJob,
                      TaskUnit& aUnit,
                      const std::vector<WorkerName>& aPlaces,
                      Instant aNow)
{
  std::vector<MemberRun> members;
  const auto kind = this->neighbours
                      ? this->neighbours->KindOf(KindOfWorkOf(aJob, aUnit))
                      : std::nullopt;
  std::int32_t index = aUnit.First();
  for (const WorkerName& place : aPlaces) {
    TrackedWorker& worker = this->workers.at(place);
    worker.Add(this->AddressOf(aJob, aUnit, index), aJob.StepOf(aUnit).Need());
    if (kind) {
      this->neighbours->NoteStart(place, *kind);
    }
    MemberRun member;
    member.worker = place;
    member.phase = MemberPhase::kOrdered;
    member.incarnation = worker.Incarnation();
    members.push_back(std::move(member));
    ++index;
  }
  aUnit.StartRun(aUnit.Run() + 1, std::move(members), aNow);
  aJob.MarkDirty();
  aJob.UpdateState(aNow);
  std::vector<StartOrder> orders;
  Reason ignored; // Every place is the name of a worker.
  for (std::size_t member = 0; member < aPlaces.size(); ++member) {
    const auto order =
      StartOrderBuilder()
        .Worker(aPlaces[member])
        .Task(this->AddressOf(
          aJob, aUnit, aUnit.First() + static_cast<std::int32_t>(member)))
        .Run(aUnit.Run())
        .Checkpoint(aUnit.Checkpoint())
        .JobVersion(aJob.Version())
        .Build(ignored);
    if (order) {
      orders.push_back(*order);
    }
  }
  return orders;
}

void
DomainState::MarkMemberGone(TrackedJob& aJob,
                            TaskUnit& aUnit,
                            std::int32_t aIndex)
{
  MemberRun* member = aUnit.Find(aIndex, aUnit.Run());
  if (member == nullptr) {
    return;
  }
  member->phase = MemberPhase::kGone;
  if (TrackedWorker* worker = this->FindWorker(member->worker)) {
    worker->Remove(this->AddressOf(aJob, aUnit, aIndex),
                   aJob.StepOf(aUnit).Need());
  }
  aJob.RevertUnstarted();
  // The stored progress names the workers of the run; the next holder would
  // wait for those that are lost meanwhile.
  if (aUnit.Idle() && !aUnit.Done() && !aJob.Final()) {
    aJob.MarkDirty();
  }
}

std::vector<StopOrder>
DomainState::TakeOrphans()
{
  return std::exchange(this->orphans, {});
}

std::vector<JobKey>
DomainState::DirtyJobs() const
{
  std::vector<JobKey> dirty;
  for (const JobKey& key : this->active) {
    if (this->jobs.at(key).Dirty()) {
      dirty.push_back(key);
    }
  }
  return dirty;
}

std::int64_t
DomainState::AcknowledgeableEnd(const WorkerName& aWorker, Instant aNow)
{
  TrackedWorker* worker = this->FindWorker(aWorker);
  if (worker == nullptr) {
    return 0;
  }
  auto& unstoredEnds = worker->UnstoredEnds();
  while (!unstoredEnds.empty()) {
    const TrackedJob* job = this->FindJob(unstoredEnds.front().job);
    if (job != nullptr && job->StoredVersion() < unstoredEnds.front().version) {
      break;
    }
    worker->Acknowledge(unstoredEnds.front().number);
    unstoredEnds.pop_front();
  }
  return worker->Acknowledged(aNow);
}

std::vector<JobKey>
DomainState::JobsToArchive(Instant aNow, std::size_t aMax) const
{
  std::vector<JobKey> ended;
  for (const auto& [key, job] : this->jobs) {
    const bool isEnded = job.Final() && !this->active.contains(key) &&
                         aNow >= job.FinalSince() + kArchiveDelay;
    if (isEnded && ended.size() < aMax) {
      ended.push_back(key);
    }
  }
  return ended;
}

void
DomainState::Archived(const JobKey& aJob, Instant aNow)
{
  if (const TrackedJob* job = this->FindJob(aJob)) {
    const auto used = this->usedBytes.find(job->Job().Team());
    used->second -= IntakeBytesOf(job->Job().Plan());
    if (used->second == 0) {
      this->usedBytes.erase(used);
    }
  }
  this->jobs.erase(aJob);
  this->active.erase(aJob);
  this->archived.try_emplace(aJob, aNow);
}

std::vector<JobKey>
DomainState::ArchivedPastRetention(Instant aNow, std::size_t aMax) const
{
  std::vector<JobKey> expired;
  for (const auto& [key, since] : this->archived) {
    const bool isExpired = aNow >= since + this->timing.FinalJobRetention();
    if (isExpired && expired.size() < aMax) {
      expired.push_back(key);
    }
  }
  return expired;
}

bool
DomainState::IsSweepDue(Instant aNow)
{
  if (aNow < this->lastSweep + kSweepInterval) {
    return false;
  }
  this->lastSweep = aNow;
  return true;
}

std::map<QueueName, std::int64_t>
DomainState::Pending() const
{
  std::map<QueueName, std::int64_t> pending;
  for (const JobKey& key : this->active) {
    const TrackedJob& job = this->jobs.at(key);
    if (!job.Final() && !job.HasStarted()) {
      ++pending[this->CurrentQueueName(job.Job())];
    }
  }
  return pending;
}

DomainUsage
DomainState::Usage() const
{
  std::int64_t bytes = 0;
  for (const auto& [team, teamBytes] : this->usedBytes) {
    bytes += teamBytes;
  }
  Reason ignored; // The amounts are not negative.
  return DomainUsageBuilder()
    .Bytes(bytes)
    .Teams(this->usedBytes)
    .Build(ignored)
    .value_or(DomainUsage());
}

}
