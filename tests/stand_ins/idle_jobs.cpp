#include "tests/stand_ins/idle_jobs.h"

#include "tests/stand_ins/site_simulation.h"

#include <algorithm>
#include <limits>

namespace sardinecourse {

namespace {

/** Above this share of capacity in use a job may have to wait. */
constexpr double kMaxUsedShare = 0.5;

std::string
StepName(const std::string& aJob, std::int32_t aStep)
{
  return aJob + ".0." + std::to_string(aStep);
}

double
ShareOf(std::int64_t aUsed, std::int64_t aTotal)
{
  return aTotal == 0 ? 0.0
                     : static_cast<double>(aUsed) / static_cast<double>(aTotal);
}

std::int64_t
FittingIn(std::int64_t aRoom, std::int64_t aNeed)
{
  return aNeed == 0 ? std::numeric_limits<std::int64_t>::max()
                    : std::max<std::int64_t>(0, aRoom) / aNeed;
}

}

void
IdleJobs::Add(const std::string& aJob, std::int32_t aSteps)
{
  FollowedJob job;
  job.steps = aSteps;
  job.idle.job = aJob;
  this->jobs.try_emplace(aJob, std::move(job));
}

void
IdleJobs::Remove(const std::string& aJob)
{
  this->jobs.erase(aJob);
}

void
IdleJobs::ReadRuns(const SiteSimulation& aSimulation)
{
  this->workersOfJobs.clear();
  this->listedDone.clear();
  this->rooms.clear();
  std::int64_t usedMilliCores = 0;
  std::int64_t usedAccelerators = 0;
  std::int64_t totalMilliCores = 0;
  std::int64_t totalAccelerators = 0;
  for (const auto& [name, worker] : aSimulation.workers) {
    Room room{ worker.milliCores, worker.memoryMb, worker.accelerators };
    for (const auto& [task, run] : worker.Runs()) {
      this->workersOfJobs[task.substr(0, task.find('.'))] = name;
      const SiteStep& step = aSimulation.StepOf(task);
      room.milliCores -= step.milliCores;
      room.memoryMb -= step.memoryMb;
      room.accelerators -= step.accelerators;
    }
    for (const SiteEnd& end : worker.Ends()) {
      if (end.outcome == "done") {
        const bool isGang = aSimulation.StepOf(end.task).isGang;
        this->listedDone.insert(isGang ? StepNameOf(end.task) : end.task);
      }
    }
    if (worker.isLeaving || worker.isUnhealthy || !worker.isReachable) {
      continue;
    }
    usedMilliCores += worker.milliCores - room.milliCores;
    usedAccelerators += worker.accelerators - room.accelerators;
    totalMilliCores += worker.milliCores;
    totalAccelerators += worker.accelerators;
    this->rooms.push_back(room);
  }
  this->usedShare = std::max(ShareOf(usedMilliCores, totalMilliCores),
                             ShareOf(usedAccelerators, totalAccelerators));
}

std::int64_t
IdleJobs::CountFitting(const SiteStep& aStep) const
{
  std::int64_t count = 0;
  for (const Room& room : this->rooms) {
    count += std::min({ FittingIn(room.milliCores, aStep.milliCores),
                        FittingIn(room.memoryMb, aStep.memoryMb),
                        FittingIn(room.accelerators, aStep.accelerators) });
  }
  return count;
}

bool
IdleJobs::UpdateJob(const SiteSimulation& aSimulation,
                    const std::string& aName,
                    FollowedJob& aJob)
{
  const auto running = this->workersOfJobs.find(aName);
  if (running != this->workersOfJobs.end()) {
    aJob.isIdle = false;
    aJob.idle.lastWorker = running->second;
    aJob.idle.lastSeenMs = aSimulation.nowMs;
    return true;
  }
  for (std::int32_t step = 0; step < aJob.steps; ++step) {
    const std::string stepName = StepName(aName, step);
    const auto found = aSimulation.steps.find(stepName);
    if (found == aSimulation.steps.end()) {
      return false;
    }
    bool isDone = true;
    for (const std::string& unit :
         SiteSimulation::UnitsOf(stepName, found->second)) {
      if (aSimulation.HasFailed(unit, found->second)) {
        return false;
      }
      isDone = isDone && (aSimulation.HasAcknowledgedDone(unit) ||
                          this->listedDone.contains(unit));
    }
    if (isDone) {
      continue;
    }
    const std::int64_t needed = found->second.isGang ? found->second.count : 1;
    const std::int64_t fitting = this->CountFitting(found->second);
    const bool isIdle =
      fitting >= 2 * needed && this->usedShare < kMaxUsedShare;
    if (isIdle && !aJob.isIdle) {
      aJob.idle.sinceMs = aSimulation.nowMs;
    }
    aJob.isIdle = isIdle;
    aJob.idle.needed = needed;
    aJob.idle.fitting = fitting;
    if (isIdle) {
      std::int64_t& longest = this->longestMs[aName];
      longest = std::max(longest, aSimulation.nowMs - aJob.idle.sinceMs);
    }
    return true;
  }
  // Every step is done.
  return false;
}

void
IdleJobs::Update(const SiteSimulation& aSimulation)
{
  this->ReadRuns(aSimulation);
  for (auto& [name, job] : this->jobs) {
    if (!this->UpdateJob(aSimulation, name, job)) {
      job.isIdle = false;
    }
  }
}

std::vector<IdleJob>
IdleJobs::Current() const
{
  std::vector<IdleJob> idle;
  for (const auto& [name, job] : this->jobs) {
    if (job.isIdle) {
      idle.push_back(job.idle);
    }
  }
  return idle;
}

}
