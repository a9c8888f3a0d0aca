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

/** Members of a gang that do not come in this time are alone. */
constexpr Milliseconds kAloneAfter{ 3000 };
constexpr double kMsPerSecond = 1000.0;
constexpr double kPercent = 100.0;

TaskAddress
FirstOf(const TaskAddress& aTask, bool aIsGang)
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
                       std::function<void(const WorkerName&)> aEnded)
  : settings(&aSettings)
  , events(&aEvents)
  , random(aSeed)
  , ended(std::move(aEnded))
{
  std::uniform_int_distribution<std::size_t> speed(0,
                                                   aSettings.speeds.size() - 1);
  for (std::int32_t worker = 0; worker < aSettings.workers; ++worker) {
    const WorkerName name("worker-" + std::to_string(worker));
    this->racks[name] =
      RackName("rack-" + std::to_string(worker / aSettings.workersPerRack));
    this->workers[name].speed = aSettings.speeds[speed(this->random)];
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
FleetModel::RunFor(const StartOrder& aOrder)
{
  const ModelJob& job = *this->jobs.at(aOrder.Task().Job());
  const auto position = static_cast<std::size_t>(aOrder.Task().Step());
  const JobStep& step = job.job.Plan().Steps()[position];
  const TaskAddress first = FirstOf(aOrder.Task(), step.IsGang());
  UnitRunPtr& run = this->runs[{ first, aOrder.Run() }];
  if (run) {
    return run;
  }
  run = std::make_shared<UnitRun>();
  run->unit = first;
  run->run = aOrder.Run();
  run->step = &step;
  run->wanted = step.IsGang() ? static_cast<std::size_t>(step.Count()) : 1;
  run->work =
    job.work[position][static_cast<std::size_t>(aOrder.Task().Index())];
  const double failures = this->settings->kinds[job.kind].failureShare;
  run->fails = job.isPoisoned || std::uniform_real_distribution<>(0.0, 1.0)(
                                   this->random) < failures;
  run->since = this->Now();
  if (!aOrder.Checkpoint().empty()) {
    run->saved = std::stod(aOrder.Checkpoint());
  }
  this->events->After(kAloneAfter, [this, alone = run] {
    if (!alone->isWhole && !alone->isOver) {
      this->End(
        alone, RunOutcome::kGangIncomplete, RunOutcome::kGangIncomplete);
    }
  });
  return run;
}

void
FleetModel::Start(const StartOrder& aOrder)
{
  const UnitRunPtr run = this->RunFor(aOrder);
  if (run->isOver) {
    return;
  }
  run->places[aOrder.Task()] = aOrder.Worker();
  this->workers.at(aOrder.Worker()).runs[aOrder.Task()] = run;
  if (run->places.size() == run->wanted) {
    this->BeginWhole(run);
  }
}

bool
FleetModel::IsRemote(const UnitRun& aRun) const
{
  std::set<RackName> used;
  for (const auto& [task, worker] : aRun.places) {
    used.insert(this->racks.at(worker));
  }
  const RackName& data = aRun.step->DataRack();
  const bool isOffData =
    !data.Empty() && (used.size() > 1 || !used.contains(data));
  return isOffData || (aRun.step->PrefersOneRack() && used.size() > 1);
}

void
FleetModel::BeginWhole(const UnitRunPtr& aRun)
{
  double factor = 0.0;
  for (const auto& [task, name] : aRun->places) {
    const WorkerState& worker = this->workers.at(name);
    factor = std::max(factor, worker.speed * worker.slowness);
  }
  factor *= this->IsRemote(*aRun) ? this->settings->remoteSlowdown : 1.0;
  const double left =
    static_cast<double>(aRun->work.count()) * (1.0 - aRun->saved) * factor;
  aRun->isWhole = true;
  aRun->since = this->Now();
  aRun->length = Milliseconds(static_cast<std::int64_t>(left) + 1);
  if (aRun->saved > 0.0) {
    aRun->length += this->settings->restoreTime;
  }
  this->events->After(aRun->length, [this, aRun] {
    if (aRun->isOver) {
      return;
    }
    if (aRun->fails) {
      this->End(aRun, RunOutcome::kFailed, RunOutcome::kBroken);
    } else {
      this->End(aRun, RunOutcome::kDone, RunOutcome::kDone);
    }
  });
}

/** Part of the whole work that is done. */
double
FleetModel::DoneOf(const UnitRun& aRun) const
{
  if (!aRun.isWhole) {
    return aRun.saved;
  }
  const double share =
    std::min(1.0, Ms(this->Now() - aRun.since) / Ms(aRun.length));
  return aRun.saved + share * (1.0 - aRun.saved);
}

double
FleetModel::SavedOf(const UnitRun& aRun) const
{
  if (!aRun.step->IsCheckpointing() || !aRun.isWhole) {
    return aRun.saved;
  }
  if (aRun.isSavedAtEnd) {
    return this->DoneOf(aRun);
  }
  const auto whole = (this->Now() - aRun.since) / this->settings->saveInterval;
  const double share =
    Ms(whole * this->settings->saveInterval) / Ms(aRun.length);
  return aRun.saved + std::min(1.0, share) * (1.0 - aRun.saved);
}

void
FleetModel::NoteThrownAway(const UnitRun& aRun, bool aIsFinished)
{
  const double cores = CoreEquivalentsOf(
    *aRun.step, static_cast<std::int32_t>(aRun.places.size()));
  const double seconds = Ms(this->Now() - aRun.since) / kMsPerSecond;
  if (!aRun.isWhole) {
    this->thrownAway += cores * seconds;
    return;
  }
  const double done = this->DoneOf(aRun) - aRun.saved;
  const double kept = this->SavedOf(aRun) - aRun.saved;
  if (!aIsFinished && done > 0.0) {
    this->thrownAway += cores * seconds * (done - kept) / done;
  }
}

void
FleetModel::End(const UnitRunPtr& aRun, RunOutcome aFirst, RunOutcome aOthers)
{
  aRun->isOver = true;
  if (aFirst == RunOutcome::kDone) {
    ++this->done;
    this->far += this->IsRemote(*aRun) ? 1 : 0;
  }
  // A run that fails by its own fault is no work thrown away.
  this->NoteThrownAway(
    *aRun, aFirst == RunOutcome::kDone || aFirst == RunOutcome::kFailed);
  const double saved = this->SavedOf(*aRun);
  RunOutcome how = aFirst;
  for (const auto& [task, name] : aRun->places) {
    WorkerState& worker = this->workers.at(name);
    if (worker.runs.erase(task) == 0) {
      continue;
    }
    worker.ends.push_back(
      Valid(EndedTaskBuilder()
              .Number(++worker.lastEnd)
              .Task(task)
              .Run(aRun->run)
              .Outcome(how)
              .Saved(saved > 0.0 ? std::to_string(saved) : "")));
    how = aOthers;
  }
  for (const auto& [task, name] : aRun->places) {
    this->ended(name);
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
  this->events->After(
    Milliseconds(time(this->random)), [this, run = found->second] {
      if (!run->isOver) {
        run->isSavedAtEnd = run->step->IsCheckpointing();
        this->End(run, RunOutcome::kStopped, RunOutcome::kBroken);
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
    const double saved = this->SavedOf(*run);
    running.push_back(Valid(
      RunningTaskBuilder()
        .Task(task)
        .Run(run->run)
        .Saved(saved > 0.0 ? std::to_string(saved) : "")
        .Percent(static_cast<std::int32_t>(kPercent * this->DoneOf(*run)))));
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
FleetModel::Slow(const WorkerName& aWorker, double aFactor)
{
  this->workers.at(aWorker).slowness = aFactor;
}

void
FleetModel::Restart(const WorkerName& aWorker)
{
  WorkerState& worker = this->workers.at(aWorker);
  const auto lost = std::exchange(worker.runs, {});
  ++worker.incarnation;
  worker.lastEnd = 0;
  worker.ends.clear();
  for (const auto& [task, run] : lost) {
    if (!run->isOver) {
      this->End(run, RunOutcome::kBroken, RunOutcome::kBroken);
    }
  }
}

}
