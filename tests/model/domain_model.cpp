#include "tests/model/domain_model.h"

#include "contracts/domain_timing_builder.h"
#include "tests/model/model_job.h"
#include "tests/model/model_settings.h"
#include "tests/scheduling/sample_jobs.h"
#include "zones/domain_pass.h"

#include <algorithm>

namespace sardinecourse {

namespace {

// What messages take in a data centre of the users' bench, in the mean.
constexpr Milliseconds kOrderTime{ 3 };
constexpr Milliseconds kStoreTime{ 10 };
constexpr Milliseconds kLookTime{ 3 };
// The holder's own pauses; DomainHolder and WorkerPoller have them as well.
constexpr Milliseconds kPassDelay{ 4 };
constexpr Milliseconds kPassInterval{ 100 };
constexpr Milliseconds kLookInterval{ 700 };
/** Callers ask for a job's state this often. */
constexpr Milliseconds kShownAfter{ 50 };
/** A job earns nothing after this many of its objectives. */
constexpr int kLateObjectives = 3;
constexpr double kMsPerSecond = 1000.0;

DomainTiming
TimingOf(const ModelSettings& aSettings)
{
  return Valid(DomainTimingBuilder()
                 .StopTime(aSettings.stopTime)
                 .ReclaimTime(aSettings.reclaimTime)
                 .RemoteSlowdown(aSettings.remoteSlowdown));
}

WorkerListing
ListingOf(const ModelSettings& aSettings,
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
                 .Capacity(aSettings.room));
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
            this->events.After(kLookTime,
                               [this, aWorker] { this->Poll(aWorker); });
          })
  , domain(TimingOf(aSettings), this->start)
  , accounted(this->start)
{
}

ModelFigures
DomainModel::Run()
{
  for (const auto& [name, rack] : this->fleet.Racks()) {
    this->domain.ListWorker(ListingOf(*this->settings, name, rack),
                            this->start);
    this->LookNowAndThen(name);
  }
  std::map<TeamName, std::int64_t> guarantees;
  const double guaranteed =
    this->settings->guaranteed *
    static_cast<double>(this->settings->room.Accelerators()) *
    this->settings->workers;
  for (std::int32_t team = 0; team < this->settings->teams; ++team) {
    guarantees[TeamName("team-" + std::to_string(team))] =
      static_cast<std::int64_t>(guaranteed) / this->settings->teams;
  }
  this->domain.SetGuarantees(std::move(guarantees));
  this->AddTroubles();
  this->AddArrivals();
  this->PassNowAndThen();
  this->events.Run(this->start + this->settings->traffic +
                     this->settings->finish,
                   [this] { return this->IsOver(); });
  this->Finish();
  return this->figures;
}

bool
DomainModel::IsOver() const
{
  return this->events.Now() > this->start + this->settings->traffic &&
         this->shown.size() == this->jobs->size();
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
    this->events.After(trouble.at, [this, aWorker] {
      this->fleet.Restart(aWorker);
      this->domain.PollFailed(aWorker);
      this->Poll(aWorker);
    });
    return;
  }
  this->events.After(trouble.at, [this, aWorker, factor = trouble.factor] {
    this->fleet.Slow(aWorker, factor);
  });
  this->events.After(trouble.at + trouble.length,
                     [this, aWorker] { this->fleet.Slow(aWorker, 1.0); });
}

void
DomainModel::AddArrivals()
{
  for (const ModelJob& job : *this->jobs) {
    this->byKey[job.job.Key()] = &job;
    this->fleet.AddJob(job);
    this->events.After(job.at, [this, &job] { this->Arrive(job); });
    if (job.cancelled) {
      this->events.After(*job.cancelled, [this, key = job.job.Key()] {
        this->domain.CancelJob(key, this->events.Now());
        this->RequestPass();
      });
    }
  }
}

void
DomainModel::Arrive(const ModelJob& aJob)
{
  // It is stored before it is answered and before the holder hears of it.
  this->events.After(kStoreTime, [this, &aJob] {
    this->domain.AddJob(
      aJob.job, std::nullopt, ++this->revision, this->events.Now());
    this->RequestPass();
  });
}

void
DomainModel::LookNowAndThen(const WorkerName& aWorker)
{
  this->Poll(aWorker);
  this->events.After(kLookInterval,
                     [this, aWorker] { this->LookNowAndThen(aWorker); });
}

/** A look's answer is of the time when it is sent. */
void
DomainModel::Poll(const WorkerName& aWorker)
{
  if (!this->looking.insert(aWorker).second) {
    return;
  }
  const Instant sent = this->events.Now();
  this->fleet.Acknowledge(aWorker,
                          this->domain.AcknowledgeableEnd(aWorker, sent));
  this->domain.GrantLease(aWorker, sent);
  this->events.After(kLookTime, [this, aWorker, sent] {
    this->looking.erase(aWorker);
    const auto ends = this->domain.ApplyReport(
      aWorker, this->fleet.ReportOf(aWorker), sent, this->events.Now());
    if (!ends.empty()) {
      this->RequestPass();
    }
  });
}

void
DomainModel::RequestPass()
{
  if (std::exchange(this->isPassDue, true)) {
    return;
  }
  this->events.After(kPassDelay, [this] {
    this->isPassDue = false;
    this->Pass();
  });
}

void
DomainModel::PassNowAndThen()
{
  this->Account();
  this->RequestPass();
  this->events.After(kPassInterval, [this] { this->PassNowAndThen(); });
}

void
DomainModel::Pass()
{
  const Instant now = this->events.Now();
  const auto wallTime =
    WallTime(std::chrono::duration_cast<Milliseconds>(now - this->start));
  DomainPass pass(this->domain, this->held, now, wallTime, this->policy);
  PassDecisions orders = pass.Run();
  this->figures.preempted += static_cast<int>(orders.preempted.size());
  for (const StopOrder& stop : orders.stops) {
    this->SendStop(stop);
  }
  std::ranges::move(orders.starts, std::back_inserter(this->staged));
  this->SendStored();
  if (!this->domain.DirtyJobs().empty() &&
      !std::exchange(this->isStoreDue, true)) {
    this->Store();
  }
}

/** What has changed by now is stored after the time that a commit takes. */
void
DomainModel::Store()
{
  std::vector<std::pair<JobKey, std::int64_t>> versions;
  for (const JobKey& key : this->domain.DirtyJobs()) {
    versions.emplace_back(key, this->domain.FindJob(key)->Version());
  }
  this->events.After(kStoreTime, [this, versions] {
    for (const auto& [key, version] : versions) {
      this->domain.FindJob(key)->Stored(version, ++this->revision);
      this->NoteFinal(key);
    }
    this->SendStored();
    this->isStoreDue = !this->domain.DirtyJobs().empty();
    if (this->isStoreDue) {
      this->Store();
    }
  });
}

void
DomainModel::SendStored()
{
  std::vector<StartOrder> waiting;
  for (const StartOrder& start : this->staged) {
    const TrackedJob* job = this->domain.FindJob(start.Task().Job());
    if (!job->Final() && job->StoredVersion() < start.JobVersion()) {
      waiting.push_back(start);
    } else {
      this->SendStart(start);
    }
  }
  this->staged = std::move(waiting);
}

void
DomainModel::SendStart(const StartOrder& aOrder)
{
  if (!this->domain.StartDeadlineMs(aOrder, this->events.Now())) {
    this->domain.StartRefused(aOrder);
    return;
  }
  this->begun.try_emplace(aOrder.Task().Job(), this->events.Now());
  this->events.After(kOrderTime, [this, aOrder] {
    this->fleet.Start(aOrder);
    this->domain.StartAnswered(aOrder, this->events.Now());
  });
}

void
DomainModel::SendStop(const StopOrder& aOrder)
{
  this->events.After(kOrderTime, [this, aOrder] {
    this->fleet.Stop(aOrder);
    this->domain.StopAnswered(aOrder, this->events.Now());
  });
}

void
DomainModel::NoteFinal(const JobKey& aJob)
{
  const TrackedJob& job = *this->domain.FindJob(aJob);
  if (job.Final()) {
    this->shown.try_emplace(
      aJob, this->events.Now() + kShownAfter, job.State());
  }
}

/** Adds up the free accelerators since the last event that came here. */
void
DomainModel::Account()
{
  const Instant now = this->events.Now();
  const double seconds =
    std::chrono::duration<double>(now - this->accounted).count();
  this->accounted = now;
  if (now > this->start + this->settings->traffic) {
    return;
  }
  for (const auto& [name, worker] : this->domain.Workers()) {
    const auto free = static_cast<double>(worker.Free().Accelerators());
    const bool isWhole = worker.Free() == this->settings->room;
    this->figures.freeAcceleratorSeconds += free * seconds;
    this->figures.scatteredAcceleratorSeconds += isWhole ? 0.0 : free * seconds;
  }
}

/** A job that the play ends before its objective is not judged. */
bool
DomainModel::IsOwed(const ModelJob& aJob) const
{
  return this->shown.contains(aJob.job.Key()) ||
         aJob.at + kLateObjectives * aJob.objective <=
           this->settings->traffic + this->settings->finish;
}

double
DomainModel::Credit(const ModelJob& aJob) const
{
  const auto found = this->shown.find(aJob.job.Key());
  const ModelKind& kind = this->settings->kinds[aJob.kind];
  if (found == this->shown.end()) {
    return 0.0;
  }
  const auto& [at, state] = found->second;
  const bool isRight = state == JobState::kFinished ||
                       (state == JobState::kFailed && aJob.isPoisoned);
  const Clock::duration took = at - (this->start + aJob.at);
  if (!isRight || took > kLateObjectives * aJob.objective) {
    return 0.0;
  }
  return aJob.value * (took <= aJob.objective ? kind.worth : kind.lateWorth);
}

void
DomainModel::Finish()
{
  double owed = 0.0;
  double earned = 0.0;
  for (const ModelJob& job : *this->jobs) {
    const ModelKind& kind = this->settings->kinds[job.kind];
    KindFigures& of = this->figures.kinds[kind.name];
    const auto begun = this->begun.find(job.job.Key());
    if (begun != this->begun.end()) {
      of.waits.push_back(
        std::chrono::duration<double>(begun->second - this->start - job.at)
          .count());
    }
    if (job.cancelled || !this->IsOwed(job)) {
      continue;
    }
    const double most = job.value * kind.worth;
    const double credit = this->Credit(job);
    ++of.owed;
    of.inTime += credit == most ? 1 : 0;
    of.late += credit > 0.0 && credit < most ? 1 : 0;
    of.creditOwed += most;
    of.credit += credit;
    owed += most;
    earned += credit;
    auto& second = this->figures.bySecond[static_cast<int>(
      static_cast<double>(job.at.count()) / kMsPerSecond)];
    second.first += credit;
    second.second += most;
  }
  double worst = 1.0;
  for (const auto& [name, kind] : this->figures.kinds) {
    worst = std::min(worst, kind.Share());
  }
  this->figures.done = this->fleet.Done();
  this->figures.far = this->fleet.Far();
  this->figures.thrownAwayCoreSeconds = this->fleet.ThrownAway();
  const double whole = owed == 0.0 ? 1.0 : earned / owed;
  const double price =
    this->settings->wastePrice * this->figures.thrownAwayCoreSeconds;
  this->figures.worth =
    (this->settings->wholeWeight * whole +
     this->settings->worstKindWeight * worst) /
      (this->settings->wholeWeight + this->settings->worstKindWeight) -
    (owed == 0.0 ? 0.0 : price / owed);
}

}
