#pragma once

#include "tests/policy/arrival_stream.h"
#include "tests/policy/placement_policy.h"
#include "tests/policy/run_figures.h"
#include "zones/admission.h"
#include "zones/data_centre_builder.h"
#include "zones/quarantine.h"
#include "zones/rack_value.h"
#include "zones/run_time_history.h"

#include <map>
#include <set>

namespace sardinecourse {

/** Runs one arrival stream through one policy: a discrete-event loop with a
 * virtual clock. */
template<PlacementPolicy Policy>
class PolicyRun
{
public:
  PolicyRun(const Scenario& aScenario,
            const std::vector<Arrival>& aArrivals,
            Policy aPolicy)
    : scenario(aScenario)
    , arrivals(aArrivals)
    , policy(std::move(aPolicy))
    , workers(MakeWorkers(aScenario.racks,
                          aScenario.workersPerRack,
                          kAcceleratorsPerWorker))
  {
    for (const Worker& worker : this->workers) {
      this->health.emplace_back(worker.Name());
    }
  }

  RunFigures Run()
  {
    while (this->next < this->arrivals.size() || !this->waiting.empty() ||
           !this->active.empty()) {
      const Instant at = this->NextEvent();
      this->AccumulateFreeTime(at);
      this->now = at;
      this->AdmitArrivals();
      this->EndDueGangs();
      this->CancelWaiting();
      this->Decide();
    }
    return this->figures;
  }

private:
  // A gang writes a checkpoint at this interval and another when it is ordered
  // to stop; one in five of the latter fails.
  static constexpr std::chrono::minutes kCheckpointInterval{ 10 };
  static constexpr std::chrono::seconds kStopTime{ 4 };
  static constexpr std::size_t kCheckpointsPerFailure = 5;
  static constexpr std::chrono::seconds kFailureTime{ 2 };
  static constexpr std::chrono::minutes kTick{ 1 };
  // One worker at a time is faulty: all its starts fail for two hours out of
  // every eight.
  static constexpr std::chrono::hours kFaultInterval{ 8 };
  static constexpr std::chrono::hours kFaultLength{ 2 };

  struct Active
  {
    std::size_t arrival;
    GangPlacement placement;
    Instant started;
    Instant endsAt;
    bool fails;
    std::optional<Instant> stopsAt;
  };

  static double Hours(Clock::duration aTime)
  {
    return std::chrono::duration<double, std::ratio<3600>>(aTime).count();
  }
  static double Minutes(Clock::duration aTime) { return Hours(aTime) * 60; }
  static std::int32_t AcceleratorsOf(const Job& aJob)
  {
    return aJob.GangShape().Members() *
           aJob.GangShape().AcceleratorsPerMember();
  }

  Instant NextEvent() const
  {
    Instant at = this->waiting.empty() ? Instant::max() : this->now + kTick;
    if (this->next < this->arrivals.size()) {
      at = std::min(at, this->arrivals[this->next].at);
    }
    for (const Active& gang : this->active) {
      at = std::min({ at, gang.endsAt, gang.stopsAt.value_or(gang.endsAt) });
    }
    return std::max(at, this->now);
  }

  /** Adds the free accelerator time since the last event, and the part of it
   * that neither the reference gang (half the largest) nor any waiting large
   * gang can use. */
  void AccumulateFreeTime(Instant aUntil)
  {
    std::int32_t free = 0;
    for (const AcceleratorMask mask : this->freeMasks) {
      free += CountAccelerators(mask);
    }
    std::set<Shape> shapes = { MakeShape(this->scenario.largestGang / 2, 8) };
    for (const WaitingJob& job : this->waiting) {
      if (AcceleratorsOf(job.Request()) >= kAcceleratorsPerWorker) {
        shapes.insert(job.Request().GangShape());
      }
    }
    std::int32_t usable = 0;
    for (const Shape shape : shapes) {
      std::int32_t usableForShape = 0;
      for (std::size_t first = 0; first < this->freeMasks.size();
           first += this->scenario.workersPerRack) {
        usableForShape +=
          UsableFor(std::span(this->freeMasks)
                      .subspan(first, this->scenario.workersPerRack),
                    shape);
      }
      usable = std::max(usable, usableForShape);
    }
    // After the last arrival the data centre drains under any policy, so that
    // time is not counted.
    if (this->next < this->arrivals.size()) {
      const double hours = Hours(aUntil - this->now);
      this->figures.freeAcceleratorHours += free * hours;
      this->figures.unusableAcceleratorHours += (free - usable) * hours;
    }
  }

  void AdmitArrivals()
  {
    const DataCentre dataCentre = BuildValid(DataCentreBuilder()
                                               .Name(DataCentreName("one"))
                                               .Workers(this->workers)
                                               .Teams(this->scenario.teams));
    for (; this->next < this->arrivals.size() &&
           this->arrivals[this->next].at <= this->now;
         ++this->next) {
      Reason reason;
      const Job& job = this->arrivals[this->next].job;
      if (!CanEverRun(dataCentre, job, reason)) {
        ++this->figures.refused;
        continue;
      }
      this->byKey[job.Key()] = this->next;
      this->Enqueue(this->next);
    }
  }

  void Enqueue(std::size_t aArrival)
  {
    const Arrival& arrival = this->arrivals[aArrival];
    const WaitingJob job =
      BuildValid(WaitingJobBuilder()
                   .Request(arrival.job)
                   .Submitted(arrival.at)
                   .ExpectedRunTime(this->history.Expected(arrival.job)));
    const auto place = std::ranges::upper_bound(
      this->waiting, job.Submitted(), {}, &WaitingJob::Submitted);
    this->waiting.insert(place, job);
  }

  void EndDueGangs()
  {
    std::vector<Active> remaining;
    for (const Active& gang : this->active) {
      const Arrival& arrival = this->arrivals[gang.arrival];
      const bool isCancelled =
        arrival.cancelledAt && *arrival.cancelledAt <= this->now;
      if (gang.endsAt <= this->now && gang.fails) {
        this->Fail(gang);
      } else if (gang.endsAt <= this->now) {
        this->Finish(gang);
      } else if (gang.stopsAt && *gang.stopsAt <= this->now) {
        this->Stop(gang);
      } else if (!isCancelled) {
        remaining.push_back(gang);
      }
    }
    this->active = remaining;
  }

  void Finish(const Active& aGang)
  {
    const Arrival& arrival = this->arrivals[aGang.arrival];
    this->history = this->history.With(arrival.job, arrival.trueRunTime);
    const double minutes = Minutes(aGang.endsAt - arrival.at);
    if (AcceleratorsOf(arrival.job) >= kAcceleratorsPerWorker) {
      const double runMinutes = Minutes(arrival.trueRunTime);
      this->figures.largeMinutes.push_back(minutes);
      this->figures.largeRunMinutes.push_back(runMinutes);
      this->figures.largeWaitMinutes.push_back(minutes - runMinutes);
      this->figures.largeMinutesByMembers[arrival.job.GangShape().Members()]
        .push_back(minutes);
    } else {
      this->figures.smallMinutes.push_back(minutes);
    }
    for (const AcceleratorRange& member : aGang.placement.Members()) {
      WorkerHealth& worker = this->HealthOf(member.Worker());
      worker = worker.AfterSuccess();
    }
  }

  void Fail(const Active& aGang)
  {
    ++this->figures.failedStarts;
    for (const AcceleratorRange& member : aGang.placement.Members()) {
      if (this->IsFaulty(member.Worker(), aGang.started)) {
        WorkerHealth& worker = this->HealthOf(member.Worker());
        worker = worker.AfterFailure(this->now);
      }
    }
    this->Enqueue(aGang.arrival);
  }

  void Stop(const Active& aGang)
  {
    const std::size_t arrival = aGang.arrival;
    const bool isCheckpointed = ++this->stopped % kCheckpointsPerFailure != 0;
    const Instant preservedUntil =
      isCheckpointed ? *aGang.stopsAt - kStopTime : this->CheckpointOf(aGang);
    this->completedWork[arrival] +=
      std::chrono::duration_cast<Milliseconds>(preservedUntil - aGang.started);
    this->figures.lostAcceleratorHours +=
      Hours(*aGang.stopsAt - preservedUntil) *
      AcceleratorsOf(this->arrivals[arrival].job);
    this->Enqueue(arrival);
  }

  void CancelWaiting()
  {
    std::erase_if(this->waiting, [this](const WaitingJob& aJob) {
      const Arrival& arrival =
        this->arrivals[this->byKey.at(aJob.Request().Key())];
      return arrival.cancelledAt && *arrival.cancelledAt <= this->now;
    });
  }

  void Decide()
  {
    const DataCentreLoad load = this->Load();
    const ScheduleDecision decision =
      this->policy.Decide(load, this->waiting, this->now);
    for (const Preemption& preemption : decision.Preemptions()) {
      const std::size_t victim = this->byKey.at(preemption.Key());
      if (preemption.Text().starts_with("for=guarantee")) {
        this->reclaimStarts.try_emplace(
          this->byKey.at(preemption.Beneficiary()), this->now);
      }
      for (Active& gang : this->active) {
        if (gang.arrival == victim && !gang.stopsAt) {
          gang.stopsAt = this->now + kStopTime;
          ++this->figures.preempted;
        }
      }
    }
    for (const GangStart& start : decision.Starts()) {
      this->Start(start);
    }
    this->freeMasks.clear();
    const DataCentreLoad after = this->Load();
    for (const WorkerOccupancy& worker : after.Occupancy()) {
      this->freeMasks.push_back(worker.Free());
    }
  }

  void Start(const GangStart& aStart)
  {
    const std::size_t index = this->byKey.at(aStart.Request().Key());
    const Arrival& arrival = this->arrivals[index];
    std::erase_if(this->waiting, [&aStart](const WaitingJob& aJob) {
      return aJob.Request().Key() == aStart.Request().Key();
    });
    const auto reclaimStart = this->reclaimStarts.find(index);
    if (reclaimStart != this->reclaimStarts.end()) {
      this->figures.reclaimSeconds.push_back(
        Minutes(this->now - reclaimStart->second) * 60);
      this->reclaimStarts.erase(reclaimStart);
    }
    if (arrival.job.Urgent() && !this->completedWork.contains(index)) {
      this->figures.urgentStartSeconds.push_back(
        Minutes(this->now - arrival.at) * 60);
    }
    const bool fails = std::ranges::any_of(
      aStart.Placement().Members(), [this](const AcceleratorRange& aMember) {
        return this->IsFaulty(aMember.Worker(), this->now);
      });
    const Milliseconds remaining =
      arrival.trueRunTime - this->completedWork[index];
    const Instant endsAt = this->now + (fails ? kFailureTime : remaining);
    this->active.push_back(
      { index, aStart.Placement(), this->now, endsAt, fails, std::nullopt });
  }

  Instant CheckpointOf(const Active& aGang) const
  {
    return aGang.started + (this->now - aGang.started) / kCheckpointInterval *
                             kCheckpointInterval;
  }

  bool IsFaulty(const WorkerName& aWorker, Instant aAt) const
  {
    const auto since = aAt - kStreamStart;
    const std::size_t faultyWorker =
      static_cast<std::size_t>(since / kFaultInterval) * 7 %
      this->workers.size();
    return since % kFaultInterval < kFaultLength &&
           this->workers[faultyWorker].Name() == aWorker;
  }

  WorkerHealth& HealthOf(const WorkerName& aWorker)
  {
    return *std::ranges::find(this->health, aWorker, &WorkerHealth::Worker);
  }

  DataCentreLoad Load() const
  {
    std::vector<RunningGang> running;
    running.reserve(this->active.size());
    for (const Active& gang : this->active) {
      const Job& job = this->arrivals[gang.arrival].job;
      running.push_back(
        BuildValid(RunningGangBuilder()
                     .Team(job.Team())
                     .Key(job.Key())
                     .Placement(gang.placement)
                     .GangShape(job.GangShape())
                     .CoresPerMember(job.CoresPerMember())
                     .MemoryPerMember(job.MemoryPerMember())
                     .Urgent(job.Urgent())
                     .Started(gang.started)
                     .ExpectedRunTime(this->history.Expected(job))

                     .Stopping(gang.stopsAt.has_value())
                     .LastCheckpoint(this->CheckpointOf(gang))));
    }
    return BuildValid(DataCentreLoadBuilder()
                        .DataCentre(DataCentreName("one"))
                        .Workers(this->workers)
                        .Teams(this->scenario.teams)
                        .Running(std::move(running))
                        .Unavailable(SelectQuarantined(
                          this->health, this->workers.size(), this->now)));
  }

  const Scenario& scenario;
  const std::vector<Arrival>& arrivals;
  Policy policy;
  std::vector<Worker> workers;
  std::vector<WorkerHealth> health;
  RunTimeHistory history;
  std::vector<WaitingJob> waiting;
  std::vector<Active> active;
  std::vector<AcceleratorMask> freeMasks;
  std::map<JobKey, std::size_t> byKey;
  /** Work completed before the last stop that its checkpoint preserves, by
   * arrival. */
  std::map<std::size_t, Milliseconds> completedWork;
  /** When gangs were first ordered to stop for a guaranteed job, by arrival of
   * that job. */
  std::map<std::size_t, Instant> reclaimStarts;
  std::size_t next = 0;
  std::size_t stopped = 0;
  Instant now = kStreamStart;
  RunFigures figures;
};

}
