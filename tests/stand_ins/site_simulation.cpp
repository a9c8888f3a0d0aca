#include "tests/stand_ins/site_simulation.h"

#include <algorithm>
#include <functional>
#include <set>

namespace sardinecourse {

namespace {

/** Simulated time advances in steps of this length. */
constexpr std::int64_t kTickMs = 50;

/** The unit whose attempts are counted: the task's gang, or the task itself
 * when its step is no gang. */
std::string
UnitOf(const std::string& aTask, const SiteStep& aStep)
{
  return aStep.isGang ? StepNameOf(aTask) : aTask;
}

/** Whether a run fails, drawn from its unit and number, so that a seed repeats
 * it. */
bool
DrawsFailure(const std::string& aUnit, std::int64_t aRun, double aShare)
{
  constexpr std::size_t kParts = 10'000;
  const std::size_t drawn =
    std::hash<std::string>{}(aUnit + "#" + std::to_string(aRun)) % kParts;
  return static_cast<double>(drawn) < aShare * static_cast<double>(kParts);
}

}

std::string
StepNameOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

const SiteStep&
SiteSimulation::StepOf(const std::string& aTask) const
{
  static const SiteStep unknown;
  const auto found = this->steps.find(StepNameOf(aTask));
  return found == this->steps.end() ? unknown : found->second;
}

void
SiteSimulation::AddViolation(const std::string& aViolation,
                             const std::string& aTask,
                             const std::string& aWorker)
{
  this->violations.push_back(aViolation + ": " + aTask + " on " + aWorker +
                             " at " + std::to_string(this->nowMs) + " ms");
}

SiteAnswer
SiteSimulation::Start(const std::string& aWorker,
                      const std::string& aTask,
                      std::int64_t aRun,
                      std::int64_t aUntilMs,
                      std::int64_t aToken)
{
  SiteWorker& worker = this->workers.at(aWorker);
  const std::size_t before = worker.Runs().size();
  SiteAnswer answer =
    worker.Start(aTask, aRun, worker.SiteTimeOf(aUntilMs), aToken, this->nowMs);
  if (worker.Runs().size() > before) {
    ++this->starts;
    this->CheckStart(worker, aTask);
  }
  return answer;
}

void
SiteSimulation::CheckStart(const SiteWorker& aWorker, const std::string& aTask)
{
  for (auto& [name, other] : this->workers) {
    if (name != aWorker.name && other.Runs().contains(aTask)) {
      this->AddViolation("runs twice at the same time", aTask, aWorker.name);
    }
  }
  const SiteStep& step = this->StepOf(aTask);
  const std::string unit = UnitOf(aTask, step);
  if (this->acknowledgedDone.contains(unit)) {
    this->AddViolation(
      "started after its acknowledged end", aTask, aWorker.name);
  }
  if (static_cast<std::int32_t>(this->acknowledgedFailures[unit].size()) >=
      step.maxAttempts) {
    this->AddViolation(
      "started more often than its attempts allow", aTask, aWorker.name);
  }
  if (this->forbiddenJobs.contains(aTask.substr(0, aTask.find('.')))) {
    this->AddViolation(
      "started after its job was refused or cancelled", aTask, aWorker.name);
  }
  const auto closed = this->closedFromMs.find(aWorker.dataCentre);
  if (closed != this->closedFromMs.end() && this->nowMs > closed->second) {
    this->AddViolation(
      "started in an evacuated data centre", aTask, aWorker.name);
  }
  std::int64_t milliCores = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
  SiteWorker& worker = this->workers.at(aWorker.name);
  for (const auto& [task, run] : worker.Runs()) {
    milliCores += this->StepOf(task).milliCores;
    memoryMb += this->StepOf(task).memoryMb;
    accelerators += this->StepOf(task).accelerators;
  }
  if (milliCores > worker.milliCores || memoryMb > worker.memoryMb ||
      accelerators > worker.accelerators) {
    this->AddViolation(
      "exceeds the capacity of its worker", aTask, aWorker.name);
  }
}

SiteAnswer
SiteSimulation::Hold(const std::string& aWorker,
                     std::int64_t aUntilMs,
                     std::int64_t aAcknowledged,
                     std::int64_t aToken)
{
  SiteWorker& worker = this->workers.at(aWorker);
  const std::vector<SiteEnd> before = worker.Ends();
  SiteAnswer answer = worker.Hold(
    worker.SiteTimeOf(aUntilMs), aAcknowledged, aToken, this->nowMs);
  if (answer != "ok") {
    return answer;
  }
  std::set<std::string> failed;
  for (const SiteEnd& end : before) {
    if (end.number > aAcknowledged) {
      continue;
    }
    const SiteStep& step = this->StepOf(end.task);
    if (step.isEndless) {
      continue;
    }
    const std::string unit = UnitOf(end.task, step);
    if (end.outcome == "done") {
      this->acknowledgedDone.insert(unit);
    }
    // Several members of a gang's run may have failed; it is one attempt.
    if (end.outcome == "failed") {
      this->acknowledgedFailures[unit].insert(end.run);
    }
  }
  return answer;
}

void
SiteSimulation::Advance(std::int64_t aMs)
{
  for (std::int64_t elapsedMs = 0; elapsedMs < aMs; elapsedMs += kTickMs) {
    this->nowMs += kTickMs;
    for (auto& [name, worker] : this->workers) {
      worker.Advance(this->nowMs);
    }
    this->AdvanceGangs();
  }
}

void
SiteSimulation::EndRun(SiteWorker& aWorker,
                       const std::string& aTask,
                       const std::string& aUnit,
                       const std::string& aOutcome)
{
  aWorker.End(aTask, aOutcome);
  if (aOutcome == "done") {
    this->endedDone.insert(aUnit);
  }
  if (aOutcome == "failed") {
    ++this->endedFailures[aUnit];
  }
}

void
SiteSimulation::End(const std::string& aWorker)
{
  SiteWorker& worker = this->workers.at(aWorker);
  worker.Restart(worker.incarnation, worker.startedMs);
}

bool
SiteSimulation::HasFailed(const std::string& aUnit, const SiteStep& aStep) const
{
  const auto found = this->endedFailures.find(aUnit);
  return found != this->endedFailures.end() &&
         found->second >= aStep.maxAttempts;
}

std::vector<std::string>
SiteSimulation::UnitsOf(const std::string& aStepName, const SiteStep& aStep)
{
  if (aStep.isGang) {
    return { aStepName };
  }
  std::vector<std::string> units;
  units.reserve(aStep.count);
  for (std::int32_t index = 0; index < aStep.count; ++index) {
    units.push_back(aStepName + "." + std::to_string(index));
  }
  return units;
}

std::int64_t
SiteSimulation::WorkMsOf(
  const SiteStep& aStep,
  const std::vector<std::pair<SiteWorker*, std::string>>& aLocations) const
{
  std::set<std::string> racks;
  double longestMs = 0.0;
  for (const auto& [worker, task] : aLocations) {
    racks.insert(worker->rack);
    std::int64_t workMs = aStep.workMs;
    if (!aStep.taskWorkMs.empty()) {
      const auto index =
        static_cast<std::size_t>(std::stoul(task.substr(task.rfind('.') + 1)));
      workMs = aStep.taskWorkMs.at(index % aStep.taskWorkMs.size());
    }
    longestMs =
      std::max(longestMs, static_cast<double>(workMs) * worker->runTimeFactor);
  }
  const bool isAwayFromData =
    !aStep.dataRack.empty() &&
    (racks.size() > 1 || !racks.contains(aStep.dataRack));
  const bool isRemote =
    isAwayFromData || (aStep.prefersOneRack && racks.size() > 1);
  return static_cast<std::int64_t>(longestMs *
                                   (isRemote ? kRemoteSlowdown : 1.0));
}

/** Ends the runs that are due. The members of a gang end together: as "alone"
 * when the gang is still incomplete after kMaxIncompleteMs, and as "broken"
 * when a member of a complete gang is lost. */
void
SiteSimulation::AdvanceGangs()
{
  struct Members
  {
    std::vector<SiteRun*> runs;
    std::vector<std::pair<SiteWorker*, std::string>> locations;
  };
  std::map<std::pair<std::string, std::int64_t>, Members> units;
  for (auto& [name, worker] : this->workers) {
    for (auto& [task, run] : worker.Runs()) {
      const std::string unit = UnitOf(task, this->StepOf(task));
      Members& members = units[{ unit, run.run }];
      members.runs.push_back(&run);
      members.locations.emplace_back(&worker, task);
    }
  }
  for (auto& [unit, members] : units) {
    const SiteStep& step = this->StepOf(members.locations.front().second);
    const std::size_t memberCount = step.isGang ? step.count : 1;
    const bool isComplete = members.runs.size() == memberCount;
    const std::int64_t workMs = this->WorkMsOf(step, members.locations);
    bool wasComplete = false;
    std::int64_t firstStartMs = this->nowMs;
    std::int64_t completeSinceMs = 0;
    for (SiteRun* run : members.runs) {
      wasComplete = wasComplete || run->completeMs > 0;
      if (isComplete && run->completeMs == 0) {
        run->completeMs = this->nowMs;
      }
      run->workMs = workMs;
      firstStartMs = std::min(firstStartMs, run->startedMs);
      completeSinceMs = std::max(completeSinceMs, run->completeMs);
    }
    std::string outcome;
    if (!isComplete && wasComplete) {
      outcome = "broken";
    } else if (!isComplete && this->nowMs >= firstStartMs + kMaxIncompleteMs) {
      outcome = "alone";
    } else if (isComplete && this->nowMs >= completeSinceMs + workMs) {
      std::int32_t& failed = this->failures[unit.first];
      const bool isFailed =
        step.fails || failed < step.failures ||
        DrawsFailure(unit.first, unit.second, step.failureShare);
      failed += isFailed ? 1 : 0;
      outcome = isFailed ? "failed" : "done";
    }
    bool isFirst = true;
    for (const auto& [worker, task] : members.locations) {
      if (!outcome.empty()) {
        const bool isBroken =
          outcome == "failed" && !isFirst && !step.failsOnAllMembers;
        this->EndRun(*worker, task, unit.first, isBroken ? "broken" : outcome);
        isFirst = false;
      }
    }
  }
}

}
