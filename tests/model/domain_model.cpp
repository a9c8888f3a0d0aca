#include "tests/model/domain_model.h"

#include "contracts/domain_timing_builder.h"
#include "contracts/job_progress_builder.h"
#include "tests/model/model_job.h"
#include "tests/model/model_settings.h"
#include "tests/scheduling/sample_jobs.h"
#include "zones/domain_pass.h"

#include <algorithm>

namespace sardinecourse {

namespace {

// Mean times of messages and commits within a data centre of the users' test
// bench.
constexpr Milliseconds kOrderTime{ 3 };
constexpr Milliseconds kStoreTime{ 10 };
constexpr Milliseconds kPollTime{ 3 };
// Delays of the holder itself, equal to those of DomainHolder and WorkerPoller.
constexpr Milliseconds kPassDelay{ 4 };
constexpr Milliseconds kPassInterval{ 100 };
constexpr Milliseconds kPollInterval{ 700 };
/** Delay until a caller that polls a job's status reads its final state. */
constexpr Milliseconds kStatusDelay{ 50 };
/** The platform's list drops a worker that has left after this time. */
constexpr Milliseconds kUnlistDelay{ 2000 };
constexpr Milliseconds kObserveInterval{ 100 };
/** A job may wait this long beside free room. */
constexpr Milliseconds kMaxIdleWait{ 3000 };
/** A job earns no credit once it has taken longer than this many times its
 * objective. */
constexpr int kMaxLateObjectives = 3;
constexpr double kMsPerSecond = 1000.0;

DomainTiming
MakeTiming(const ModelSettings& aSettings)
{
  return Valid(DomainTimingBuilder()
                 .WorkerLease(aSettings.workerLease)
                 .StopTime(aSettings.stopTime)
                 .ReclaimTime(aSettings.reclaimTime)
                 .RemoteSlowdown(aSettings.remoteSlowdown));
}

WorkerListing
MakeListing(const ModelSettings& aSettings,
            const WorkerName& aWorker,
            const RackName& aRack)
{
  Reason reason;
  return Valid(WorkerListingBuilder()
                 .Name(aWorker)
                 .Service(ServiceName("fretdesk"))
                 .Address(*Endpoint::Parse("127.0.0.1:1", reason))
                 .Rack(aRack)
                 .Labels({ aRack.Text() })
                 .Capacity(aSettings.workerCapacity));
}

}

DomainModel::DomainModel(const ModelSettings& aSettings,
                         const std::vector<ModelJob>& aJobs,
                         DomainPolicy aPolicy,
                         std::uint32_t aSeed)
  : settings(&aSettings)
  , jobs(&aJobs)
  , policy(aPolicy)
  , start(this->events.Now())
  , random(aSeed)
  , fleet(aSettings,
          this->events,
          aSeed,
          [this](const WorkerName& aWorker) {
            this->events.ScheduleAfter(
              kPollTime, [this, aWorker] { this->Poll(aWorker); });
          })
  , domain(std::in_place, MakeTiming(aSettings), this->start, this->start)
  , idleWaits(aSettings)
  , accumulatedUntil(this->start)
{
}

ModelFigures
DomainModel::Run()
{
  this->PrepareDomain();
  for (const auto& [name, rack] : this->fleet.Racks()) {
    this->PollPeriodically(name);
  }
  this->AddTroubles();
  this->AddArrivals();
  this->RunPassPeriodically();
  this->ObserveIdleWaits();
  this->events.Run(this->start + this->settings->traffic +
                     this->settings->finish,
                   [this] { return this->IsComplete(); });
  this->figures.idleWaits = this->idleWaits.WaitingFor(kMaxIdleWait);
  this->ComputeFigures();
  return this->figures;
}

/** Gives a holder the workers and the guarantees. */
void
DomainModel::PrepareDomain()
{
  for (const auto& [name, rack] : this->fleet.Racks()) {
    if (!this->fleet.HasLeft(name)) {
      this->domain->ListWorker(MakeListing(*this->settings, name, rack),
                               this->events.Now());
    }
  }
  std::map<TeamName, std::int64_t> guarantees;
  const double guaranteed =
    this->settings->guaranteed *
    static_cast<double>(this->settings->workerCapacity.Accelerators()) *
    this->settings->workers;
  for (std::int32_t team = 0; team < this->settings->teams; ++team) {
    guarantees[TeamName("team-" + std::to_string(team))] =
      static_cast<std::int64_t>(guaranteed) / this->settings->teams;
  }
  this->domain->SetGuarantees(std::move(guarantees));
}

/** Another host loads the stored jobs. What its predecessor sent is answered to
 * nobody. */
void
DomainModel::TakeOver()
{
  ++this->term;
  this->pendingStarts.clear();
  this->pollsInFlight.clear();
  this->isStoreScheduled = false;
  this->reservations = PreemptionReservations();
  const Instant now = this->events.Now();
  this->domain.emplace(
    MakeTiming(*this->settings), now, now + DomainTiming::kRenewalGrace);
  this->PrepareDomain();
  for (const auto& [key, progress] : this->stored) {
    const ModelJob& job = *this->jobsByKey.at(key);
    this->domain->AddJob(job.job,
                         progress,
                         ++this->revision,
                         this->events.Now(),
                         std::chrono::duration_cast<Milliseconds>(
                           now - (this->start + job.arrival)));
  }
  for (const auto& [name, worker] : this->domain->Workers()) {
    this->Poll(name);
  }
}

/** Whether the holder of a term has been replaced. */
bool
DomainModel::IsOver(std::int64_t aTerm) const
{
  return aTerm != this->term;
}

void
DomainModel::ObserveIdleWaits()
{
  this->idleWaits.Observe(this->events.Now(), *this->domain, this->fleet);
  this->events.ScheduleAfter(kObserveInterval,
                             [this] { this->ObserveIdleWaits(); });
}

bool
DomainModel::IsComplete() const
{
  return this->events.Now() > this->start + this->settings->traffic &&
         this->reportedFinal.size() == this->jobs->size();
}

void
DomainModel::AddTroubles()
{
  for (std::size_t index = 0; index < this->settings->troubles.size();
       ++index) {
    const ModelTrouble& trouble = this->settings->troubles[index];
    if (trouble.kind == ModelTrouble::Kind::kBurst) {
      continue;
    }
    if (trouble.kind == ModelTrouble::Kind::kTakeover) {
      this->events.ScheduleAfter(trouble.start, [this] { this->TakeOver(); });
      continue;
    }
    for (const auto& [name, rack] : this->fleet.Racks()) {
      if (std::uniform_real_distribution<>(0.0, 1.0)(this->random) <
          trouble.share) {
        this->AddTrouble(name, index);
      }
    }
  }
}

void
DomainModel::AddTrouble(const WorkerName& aWorker, std::size_t aTrouble)
{
  const ModelTrouble& trouble = this->settings->troubles[aTrouble];
  if (trouble.kind == ModelTrouble::Kind::kRestart) {
    this->events.ScheduleAfter(trouble.start, [this, aWorker] {
      this->fleet.Restart(aWorker);
      this->domain->PollFailed(aWorker);
      this->Poll(aWorker);
    });
    return;
  }
  if (trouble.kind == ModelTrouble::Kind::kLeave) {
    this->events.ScheduleAfter(trouble.start, [this, aWorker] {
      this->fleet.Leave(aWorker);
      this->domain->PollFailed(aWorker);
    });
    this->events.ScheduleAfter(trouble.start + kUnlistDelay, [this, aWorker] {
      this->domain->UnlistWorker(aWorker);
    });
    return;
  }
  this->events.ScheduleAfter(trouble.start,
                             [this, aWorker, factor = trouble.factor] {
                               this->fleet.SetSlowdown(aWorker, factor);
                             });
  this->events.ScheduleAfter(trouble.start + trouble.duration, [this, aWorker] {
    this->fleet.SetSlowdown(aWorker, 1.0);
  });
}

void
DomainModel::AddArrivals()
{
  for (const ModelJob& job : *this->jobs) {
    this->jobsByKey[job.job.Key()] = &job;
    this->fleet.AddJob(job);
    this->events.ScheduleAfter(job.arrival,
                               [this, &job] { this->SubmitJob(job); });
    if (job.cancelAt) {
      this->events.ScheduleAfter(*job.cancelAt, [this, key = job.job.Key()] {
        this->StoreCancelled(key);
        this->domain->CancelJob(key, this->events.Now());
        this->RequestPass();
      });
    }
  }
}

void
DomainModel::StoreCancelled(const JobKey& aJob)
{
  this->cancelled.insert(aJob);
  const TrackedJob* job = this->domain->FindJob(aJob);
  if (job == nullptr || job->Final()) {
    return;
  }
  const JobProgress progress = job->Progress();
  this->stored[aJob] = Valid(JobProgressBuilder()
                               .Queue(progress.Queue())
                               .State(JobState::kCancelled)
                               .Marks(progress.Marks())
                               .FailedRuns(progress.FailedRuns())
                               .Placements(progress.Placements()));
}

void
DomainModel::SubmitJob(const ModelJob& aJob)
{
  // A job is stored before its caller is answered and before the holder is
  // notified of it.
  this->events.ScheduleAfter(kStoreTime, [this, &aJob] {
    this->stored.try_emplace(aJob.job.Key(), std::nullopt);
    this->domain->AddJob(
      aJob.job, std::nullopt, ++this->revision, this->events.Now());
    this->RequestPass();
  });
}

void
DomainModel::PollPeriodically(const WorkerName& aWorker)
{
  this->Poll(aWorker);
  this->events.ScheduleAfter(
    kPollInterval, [this, aWorker] { this->PollPeriodically(aWorker); });
}

/** The lease and the report of a poll count from the time the request was
 * sent. */
void
DomainModel::Poll(const WorkerName& aWorker)
{
  if (!this->pollsInFlight.insert(aWorker).second) {
    return;
  }
  const Instant sent = this->events.Now();
  if (this->fleet.HasLeft(aWorker)) {
    this->pollsInFlight.erase(aWorker);
    this->domain->PollFailed(aWorker);
    return;
  }
  this->fleet.Acknowledge(aWorker,
                          this->domain->AcknowledgeableEnd(aWorker, sent));
  this->domain->GrantLease(aWorker, sent);
  this->events.ScheduleAfter(
    kPollTime, [this, aWorker, sent, sender = this->term] {
      if (this->IsOver(sender)) {
        return;
      }
      this->pollsInFlight.erase(aWorker);
      if (this->fleet.HasLeft(aWorker)) {
        this->domain->PollFailed(aWorker);
        return;
      }
      const auto ends = this->domain->ApplyReport(
        aWorker, this->fleet.ReportOf(aWorker), sent, this->events.Now());
      if (!ends.empty()) {
        this->RequestPass();
      }
    });
}

void
DomainModel::RequestPass()
{
  if (std::exchange(this->isPassScheduled, true)) {
    return;
  }
  this->events.ScheduleAfter(kPassDelay, [this] {
    this->isPassScheduled = false;
    this->RunPass();
  });
}

void
DomainModel::RunPassPeriodically()
{
  this->AccumulateFreeAccelerators();
  this->RequestPass();
  this->events.ScheduleAfter(kPassInterval,
                             [this] { this->RunPassPeriodically(); });
}

void
DomainModel::RunPass()
{
  const Instant now = this->events.Now();
  const auto wallTime =
    WallTime(std::chrono::duration_cast<Milliseconds>(now - this->start));
  DomainPass pass(
    *this->domain, this->reservations, now, wallTime, this->policy);
  PassDecisions decisions = pass.Run();
  this->figures.preempted += static_cast<int>(decisions.preempted.size());
  for (const StopOrder& stop : decisions.stops) {
    this->SendStop(stop);
  }
  std::ranges::move(decisions.starts, std::back_inserter(this->pendingStarts));
  this->SendStoredStarts();
  if (!this->domain->DirtyJobs().empty() &&
      !std::exchange(this->isStoreScheduled, true)) {
    this->StoreDirtyJobs();
  }
}

/** Stores the versions that jobs have now; they count as stored after the time
 * of a commit. */
void
DomainModel::StoreDirtyJobs()
{
  std::map<JobKey, std::pair<std::int64_t, JobProgress>> versions;
  for (const JobKey& key : this->domain->DirtyJobs()) {
    const TrackedJob& job = *this->domain->FindJob(key);
    versions.emplace(key, std::pair(job.Version(), job.Progress()));
  }
  this->events.ScheduleAfter(kStoreTime, [this, versions, writer = this->term] {
    if (this->IsOver(writer)) {
      return;
    }
    for (const auto& [key, change] : versions) {
      const auto& [version, progress] = change;
      if (!this->cancelled.contains(key)) {
        this->stored[key] = progress;
      }
      this->domain->FindJob(key)->MarkStored(version, ++this->revision);
      this->RecordFinal(key);
    }
    this->SendStoredStarts();
    this->isStoreScheduled = !this->domain->DirtyJobs().empty();
    if (this->isStoreScheduled) {
      this->StoreDirtyJobs();
    }
  });
}

void
DomainModel::SendStoredStarts()
{
  std::vector<StartOrder> unstored;
  for (const StartOrder& start : this->pendingStarts) {
    const TrackedJob* job = this->domain->FindJob(start.Task().Job());
    if (!job->Final() && job->StoredVersion() < start.JobVersion()) {
      unstored.push_back(start);
    } else {
      this->SendStart(start);
    }
  }
  this->pendingStarts = std::move(unstored);
}

void
DomainModel::SendStart(const StartOrder& aOrder)
{
  if (!this->domain->StartDeadlineMs(aOrder, this->events.Now())) {
    this->domain->StartDropped(aOrder);
    return;
  }
  this->firstStarts.try_emplace(aOrder.Task().Job(), this->events.Now());
  this->events.ScheduleAfter(kOrderTime, [this, aOrder, sender = this->term] {
    if (this->fleet.HasLeft(aOrder.Worker())) {
      if (!this->IsOver(sender)) {
        this->domain->StartUnanswered(aOrder, this->events.Now());
      }
      return;
    }
    this->fleet.Start(aOrder);
    if (this->IsOver(sender)) {
      return;
    }
    this->domain->StartAnswered(aOrder, this->events.Now());
  });
}

void
DomainModel::SendStop(const StopOrder& aOrder)
{
  this->events.ScheduleAfter(kOrderTime, [this, aOrder, sender = this->term] {
    if (this->fleet.HasLeft(aOrder.Worker())) {
      return;
    }
    this->fleet.Stop(aOrder);
    if (this->IsOver(sender)) {
      return;
    }
    this->domain->StopAnswered(aOrder, this->events.Now());
  });
}

void
DomainModel::RecordFinal(const JobKey& aJob)
{
  const TrackedJob& job = *this->domain->FindJob(aJob);
  if (job.Final()) {
    this->reportedFinal.try_emplace(
      aJob, this->events.Now() + kStatusDelay, job.State());
  }
}

/** Adds the free accelerators, times the seconds since the previous call, to
 * the figures. */
void
DomainModel::AccumulateFreeAccelerators()
{
  const Instant now = this->events.Now();
  const double seconds =
    std::chrono::duration<double>(now - this->accumulatedUntil).count();
  this->accumulatedUntil = now;
  if (now > this->start + this->settings->traffic) {
    return;
  }
  for (const auto& [name, worker] : this->domain->Workers()) {
    const auto free = static_cast<double>(worker.Free().Accelerators());
    const bool isUnused = worker.Free() == this->settings->workerCapacity;
    this->figures.freeAcceleratorSeconds += free * seconds;
    this->figures.fragmentedAcceleratorSeconds +=
      isUnused ? 0.0 : free * seconds;
  }
}

/** Excludes unfinished jobs that could still have earned credit when the
 * simulation ended. */
bool
DomainModel::IsCounted(const ModelJob& aJob) const
{
  return this->reportedFinal.contains(aJob.job.Key()) ||
         aJob.arrival + kMaxLateObjectives * aJob.objective <=
           this->settings->traffic + this->settings->finish;
}

double
DomainModel::CreditOf(const ModelJob& aJob) const
{
  const auto found = this->reportedFinal.find(aJob.job.Key());
  const ModelKind& kind = this->settings->kinds[aJob.kind];
  if (found == this->reportedFinal.end()) {
    return 0.0;
  }
  const auto& [reportedAt, state] = found->second;
  const bool isExpectedOutcome =
    state == JobState::kFinished ||
    (state == JobState::kFailed && aJob.alwaysFails);
  const Clock::duration took = reportedAt - (this->start + aJob.arrival);
  if (!isExpectedOutcome || took > kMaxLateObjectives * aJob.objective) {
    return 0.0;
  }
  return aJob.creditFactor *
         (took <= aJob.objective ? kind.worth : kind.lateWorth);
}

void
DomainModel::ComputeFigures()
{
  double possibleCredit = 0.0;
  double earned = 0.0;
  for (const ModelJob& job : *this->jobs) {
    const ModelKind& kind = this->settings->kinds[job.kind];
    KindFigures& kindFigures = this->figures.kinds[kind.name];
    const auto firstStart = this->firstStarts.find(job.job.Key());
    if (firstStart != this->firstStarts.end()) {
      kindFigures.waits.push_back(
        std::chrono::duration<double>(firstStart->second - this->start -
                                      job.arrival)
          .count());
    }
    if (job.cancelAt || !this->IsCounted(job)) {
      continue;
    }
    const double maxCredit = job.creditFactor * kind.worth;
    const double credit = this->CreditOf(job);
    ++kindFigures.countedJobs;
    kindFigures.inTime += credit == maxCredit ? 1 : 0;
    kindFigures.late += credit > 0.0 && credit < maxCredit ? 1 : 0;
    kindFigures.possibleCredit += maxCredit;
    kindFigures.credit += credit;
    possibleCredit += maxCredit;
    earned += credit;
    auto& second = this->figures.bySecond[static_cast<int>(
      static_cast<double>(job.arrival.count()) / kMsPerSecond)];
    second.first += credit;
    second.second += maxCredit;
  }
  double worstKindShare = 1.0;
  for (const auto& [name, kind] : this->figures.kinds) {
    worstKindShare = std::min(worstKindShare, kind.CreditShare());
  }
  this->figures.unitsDone = this->fleet.UnitsDone();
  this->figures.remoteUnits = this->fleet.RemoteUnits();
  this->figures.lostCoreSeconds = this->fleet.LostCoreSeconds();
  const double totalShare =
    possibleCredit == 0.0 ? 1.0 : earned / possibleCredit;
  const double lostWorkCost =
    this->settings->lostWorkPrice * this->figures.lostCoreSeconds;
  this->figures.worth =
    (this->settings->totalWeight * totalShare +
     this->settings->worstKindWeight * worstKindShare) /
      (this->settings->totalWeight + this->settings->worstKindWeight) -
    (possibleCredit == 0.0 ? 0.0 : lostWorkCost / possibleCredit);
}

}
