#include "tests/model/fleet_model.h"

#include "contracts/ended_task_builder.h"
#include "contracts/job_step.h"
#include "contracts/running_task_builder.h"
#include "contracts/task_address_builder.h"
#include "contracts/worker_report_builder.h"
#include "tests/model/event_queue.h"
#include "tests/model/model_job.h"
#include "tests/model/model_settings.h"
#include "tests/scheduling/sample_jobs.h"
#include "zones/work_size.h"

#include <algorithm>
#include <set>

namespace sardinecourse {

namespace {

/** A gang run ends as incomplete when not all members have started within this
 * time. */
constexpr Milliseconds kGangStartTimeout{ 3000 };
constexpr double kMsPerSecond = 1000.0;
constexpr double kPercent = 100.0;

TaskAddress
UnitAddress(const TaskAddress& aTask, bool aIsGang)
{
  return Valid(TaskAddressBuilder()
                 .Job(aTask.Job())
                 .Occurrence(aTask.Occurrence())
                 .Step(aTask.Step())
                 .Index(aIsGang ? 0 : aTask.Index()));
}

double
Ms(Clock::duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

}

FleetModel::FleetModel(const ModelSettings& aSettings,
                       EventQueue& aEvents,
                       std::uint32_t aSeed,
                       std::function<void(const WorkerName&)> aOnRunEnded)
  : settings(&aSettings)
  , events(&aEvents)
  , random(aSeed)
  , onRunEnded(std::move(aOnRunEnded))
{
  std::uniform_int_distribution<std::size_t> factorIndex(
    0, aSettings.runTimeFactors.size() - 1);
  for (std::int32_t worker = 0; worker < aSettings.workers; ++worker) {
    const WorkerName name("worker-" + std::to_string(worker));
    this->racks[name] =
      RackName("rack-" + std::to_string(worker / aSettings.workersPerRack));
    this->workers[name].runTimeFactor =
      aSettings.runTimeFactors[factorIndex(this->random)];
  }
}

Instant
FleetModel::Now() const
{
  return this->events->Now();
}

void
FleetModel::AddJob(const ModelJob& aJob)
{
  this->jobs[aJob.job.Key()] = &aJob;
}

FleetModel::UnitRunPtr
FleetModel::FindOrCreateRun(const StartOrder& aOrder)
{
  const ModelJob& job = *this->jobs.at(aOrder.Task().Job());
  const auto position = static_cast<std::size_t>(aOrder.Task().Step());
  const JobStep& step = job.job.Plan().Steps()[position];
  const TaskAddress unit = UnitAddress(aOrder.Task(), step.IsGang());
  UnitRunPtr& run = this->runs[{ unit, aOrder.Run() }];
  if (run) {
    return run;
  }
  run = std::make_shared<UnitRun>();
  run->unit = unit;
  run->run = aOrder.Run();
  run->step = &step;
  run->memberCount = step.IsGang() ? static_cast<std::size_t>(step.Count()) : 1;
  run->runTime =
    job.runTimes[position][static_cast<std::size_t>(aOrder.Task().Index())];
  const double failureShare = this->settings->kinds[job.kind].failureShare;
  run->willFail = job.alwaysFails || std::uniform_real_distribution<>(0.0, 1.0)(
                                       this->random) < failureShare;
  run->startedAt = this->Now();
  if (!aOrder.Checkpoint().empty()) {
    run->saved = std::stod(aOrder.Checkpoint());
  }
  this->events->ScheduleAfter(kGangStartTimeout, [this, incomplete = run] {
    if (!incomplete->isAllRunning && !incomplete->hasEnded) {
      this->EndRun(
        incomplete, RunOutcome::kGangIncomplete, RunOutcome::kGangIncomplete);
    }
  });
  return run;
}

void
FleetModel::Start(const StartOrder& aOrder)
{
  const UnitRunPtr run = this->FindOrCreateRun(aOrder);
  if (run->hasEnded) {
    return;
  }
  run->memberWorkers[aOrder.Task()] = aOrder.Worker();
  this->workers.at(aOrder.Worker()).runs[aOrder.Task()] = run;
  if (run->memberWorkers.size() == run->memberCount) {
    this->StartWork(run);
  }
}

bool
FleetModel::IsRemote(const UnitRun& aRun) const
{
  std::set<RackName> racksUsed;
  for (const auto& [task, worker] : aRun.memberWorkers) {
    racksUsed.insert(this->racks.at(worker));
  }
  const RackName& data = aRun.step->DataRack();
  const bool isAwayFromData =
    !data.Empty() && (racksUsed.size() > 1 || !racksUsed.contains(data));
  return isAwayFromData ||
         (aRun.step->PrefersOneRack() && racksUsed.size() > 1);
}

void
FleetModel::StartWork(const UnitRunPtr& aRun)
{
  double factor = 0.0;
  for (const auto& [task, name] : aRun->memberWorkers) {
    const WorkerState& worker = this->workers.at(name);
    factor = std::max(factor, worker.runTimeFactor * worker.slowdown);
  }
  factor *= this->IsRemote(*aRun) ? this->settings->remoteSlowdown : 1.0;
  const double remainingMs =
    static_cast<double>(aRun->runTime.count()) * (1.0 - aRun->saved) * factor;
  aRun->isAllRunning = true;
  aRun->startedAt = this->Now();
  aRun->duration = Milliseconds(static_cast<std::int64_t>(remainingMs) + 1);
  if (aRun->saved > 0.0) {
    aRun->duration += this->settings->restoreTime;
  }
  this->events->ScheduleAfter(aRun->duration, [this, aRun] {
    if (aRun->hasEnded) {
      return;
    }
    if (aRun->willFail) {
      this->EndRun(aRun, RunOutcome::kFailed, RunOutcome::kBroken);
    } else {
      this->EndRun(aRun, RunOutcome::kDone, RunOutcome::kDone);
    }
  });
}

/** Share of the unit's total work that is done, including the share saved by
 * earlier runs. */
double
FleetModel::DoneShare(const UnitRun& aRun) const
{
  if (!aRun.isAllRunning) {
    return aRun.saved;
  }
  const double share =
    std::min(1.0, Ms(this->Now() - aRun.startedAt) / Ms(aRun.duration));
  return aRun.saved + share * (1.0 - aRun.saved);
}

double
FleetModel::SavedShare(const UnitRun& aRun) const
{
  if (!aRun.step->IsCheckpointing() || !aRun.isAllRunning) {
    return aRun.saved;
  }
  if (aRun.isSavedOnStop) {
    return this->DoneShare(aRun);
  }
  const auto checkpoints =
    (this->Now() - aRun.startedAt) / this->settings->saveInterval;
  const double share =
    Ms(checkpoints * this->settings->saveInterval) / Ms(aRun.duration);
  return aRun.saved + std::min(1.0, share) * (1.0 - aRun.saved);
}

void
FleetModel::AddLostWork(const UnitRun& aRun, bool aIsFinished)
{
  const double cores = CoreEquivalentsOf(
    *aRun.step, static_cast<std::int32_t>(aRun.memberWorkers.size()));
  const double seconds = Ms(this->Now() - aRun.startedAt) / kMsPerSecond;
  if (!aRun.isAllRunning) {
    this->lostCoreSeconds += cores * seconds;
    return;
  }
  const double done = this->DoneShare(aRun) - aRun.saved;
  const double saved = this->SavedShare(aRun) - aRun.saved;
  if (!aIsFinished && done > 0.0) {
    this->lostCoreSeconds += cores * seconds * (done - saved) / done;
  }
}

void
FleetModel::EndRun(const UnitRunPtr& aRun,
                   RunOutcome aFirst,
                   RunOutcome aOthers)
{
  aRun->hasEnded = true;
  if (aFirst == RunOutcome::kDone) {
    ++this->unitsDone;
    this->remoteUnits += this->IsRemote(*aRun) ? 1 : 0;
  }
  // Work of a run that fails by its own fault does not count as lost.
  this->AddLostWork(
    *aRun, aFirst == RunOutcome::kDone || aFirst == RunOutcome::kFailed);
  const double saved = this->SavedShare(*aRun);
  RunOutcome outcome = aFirst;
  for (const auto& [task, name] : aRun->memberWorkers) {
    WorkerState& worker = this->workers.at(name);
    if (worker.runs.erase(task) == 0) {
      continue;
    }
    worker.ends.push_back(
      Valid(EndedTaskBuilder()
              .Number(++worker.lastEnd)
              .Task(task)
              .Run(aRun->run)
              .Outcome(outcome)
              .Saved(saved > 0.0 ? std::to_string(saved) : "")));
    outcome = aOthers;
  }
  for (const auto& [task, name] : aRun->memberWorkers) {
    this->onRunEnded(name);
  }
  this->runs.erase({ aRun->unit, aRun->run });
}

void
FleetModel::Stop(const StopOrder& aOrder)
{
  WorkerState& worker = this->workers.at(aOrder.Worker());
  const auto found = worker.runs.find(aOrder.Task());
  if (found == worker.runs.end() || found->second->run > aOrder.Run()) {
    return;
  }
  std::uniform_int_distribution<std::int64_t> time(
    0, this->settings->stopTime.count());
  this->events->ScheduleAfter(
    Milliseconds(time(this->random)), [this, run = found->second] {
      if (!run->hasEnded) {
        run->isSavedOnStop = run->step->IsCheckpointing();
        this->EndRun(run, RunOutcome::kStopped, RunOutcome::kBroken);
      }
    });
}

void
FleetModel::Acknowledge(const WorkerName& aWorker, std::int64_t aNumber)
{
  std::erase_if(
    this->workers.at(aWorker).ends,
    [aNumber](const EndedTask& aEnd) { return aEnd.Number() <= aNumber; });
}

WorkerReport
FleetModel::ReportOf(const WorkerName& aWorker) const
{
  const WorkerState& worker = this->workers.at(aWorker);
  std::vector<RunningTask> running;
  for (const auto& [task, run] : worker.runs) {
    const double saved = this->SavedShare(*run);
    running.push_back(Valid(
      RunningTaskBuilder()
        .Task(task)
        .Run(run->run)
        .Saved(saved > 0.0 ? std::to_string(saved) : "")
        .Percent(static_cast<std::int32_t>(kPercent * this->DoneShare(*run)))));
  }
  const auto clock =
    std::chrono::duration_cast<Milliseconds>(this->Now().time_since_epoch());
  return Valid(WorkerReportBuilder()
                 .Incarnation(worker.incarnation)
                 .ClockMs(clock.count())
                 .Running(std::move(running))
                 .Ended(worker.ends));
}

void
FleetModel::SetSlowdown(const WorkerName& aWorker, double aFactor)
{
  this->workers.at(aWorker).slowdown = aFactor;
}

void
FleetModel::Restart(const WorkerName& aWorker)
{
  WorkerState& worker = this->workers.at(aWorker);
  const auto interrupted = std::exchange(worker.runs, {});
  ++worker.incarnation;
  worker.lastEnd = 0;
  worker.ends.clear();
  for (const auto& [task, run] : interrupted) {
    if (!run->hasEnded) {
      this->EndRun(run, RunOutcome::kBroken, RunOutcome::kBroken);
    }
  }
}

void
FleetModel::Leave(const WorkerName& aWorker)
{
  this->gone.insert(aWorker);
  this->Restart(aWorker);
}

bool
FleetModel::HasRuns(const JobKey& aJob) const
{
  return std::ranges::any_of(this->runs, [&aJob](const auto& aEntry) {
    return aEntry.first.first.Job() == aJob;
  });
}

Resources
FleetModel::UsedOn(const WorkerName& aWorker) const
{
  Resources used;
  for (const auto& [task, run] : this->workers.at(aWorker).runs) {
    used = used.Plus(run->step->Need());
  }
  return used;
}

}
