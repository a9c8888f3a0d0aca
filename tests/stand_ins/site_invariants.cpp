#include "tests/stand_ins/site_invariants.h"

#include <algorithm>
#include <set>

namespace sardinecourse {

namespace {

/** Time passes in steps of this length. */
constexpr std::int64_t kTickMs = 50;

/** The unit that attempts are counted for: a gang, or a task on its own. */
std::string
UnitOf(const std::string& aTask, const SiteStep& aStep)
{
  return aStep.isGang ? StepNameOf(aTask) : aTask;
}

}

std::string
StepNameOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

const SiteStep&
SiteInvariants::StepOf(const std::string& aTask) const
{
  static const SiteStep unknown;
  const auto found = this->steps.find(StepNameOf(aTask));
  return found == this->steps.end() ? unknown : found->second;
}

void
SiteInvariants::Violate(const std::string& aWhat,
                        const std::string& aTask,
                        const std::string& aWorker)
{
  this->violations.push_back(aWhat + ": " + aTask + " on " + aWorker + " at " +
                             std::to_string(this->nowMs) + " ms");
}

SiteAnswer
SiteInvariants::Start(const std::string& aWorker,
                      const std::string& aTask,
                      std::int64_t aRun,
                      std::int64_t aUntilMs,
                      std::int64_t aToken)
{
  SiteWorker& worker = this->workers.at(aWorker);
  const std::size_t before = worker.Runs().size();
  SiteAnswer answer = worker.Start(aTask, aRun, aUntilMs, aToken, this->nowMs);
  if (worker.Runs().size() > before) {
    ++this->starts;
    this->Judge(worker, aTask);
  }
  return answer;
}

void
SiteInvariants::Judge(const SiteWorker& aWorker, const std::string& aTask)
{
  for (auto& [name, other] : this->workers) {
    if (name != aWorker.name && other.Runs().contains(aTask)) {
      this->Violate("runs twice at the same time", aTask, aWorker.name);
    }
  }
  const SiteStep& step = this->StepOf(aTask);
  const std::string unit = UnitOf(aTask, step);
  if (this->acknowledgedDone.contains(unit)) {
    this->Violate("started after its acknowledged end", aTask, aWorker.name);
  }
  if (this->acknowledgedFailures[unit] >= step.maxAttempts) {
    this->Violate("started beyond its attempts", aTask, aWorker.name);
  }
  if (this->forbidden.contains(aTask.substr(0, aTask.find('.')))) {
    this->Violate("started though its job was closed", aTask, aWorker.name);
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
    this->Violate("takes a worker over its room", aTask, aWorker.name);
  }
}

SiteAnswer
SiteInvariants::Hold(const std::string& aWorker,
                     std::int64_t aUntilMs,
                     std::int64_t aAcknowledged,
                     std::int64_t aToken)
{
  SiteWorker& worker = this->workers.at(aWorker);
  const std::vector<SiteEnd> before = worker.Ends();
  SiteAnswer answer = worker.Hold(aUntilMs, aAcknowledged, aToken, this->nowMs);
  if (answer != "ok") {
    return answer;
  }
  std::set<std::string> failed;
  for (const SiteEnd& end : before) {
    if (end.number > aAcknowledged) {
      continue;
    }
    const std::string unit = UnitOf(end.task, this->StepOf(end.task));
    if (end.how == "done") {
      this->acknowledgedDone.insert(unit);
    }
    // Only the first member of a gang lists the failure of their run.
    if (end.how == "failed") {
      ++this->acknowledgedFailures[unit];
    }
  }
  return answer;
}

void
SiteInvariants::Advance(std::int64_t aMs)
{
  for (std::int64_t passed = 0; passed < aMs; passed += kTickMs) {
    this->nowMs += kTickMs;
    for (auto& [name, worker] : this->workers) {
      worker.Advance(this->nowMs);
    }
    this->AdvanceGangs();
  }
}

/** Ends every step's run that is over: together for a gang, whose members are
 * alone when not all are there in time, and broken when one of them is gone. */
void
SiteInvariants::AdvanceGangs()
{
  struct Members
  {
    std::vector<SiteRun*> runs;
    std::vector<std::pair<SiteWorker*, std::string>> places;
  };
  std::map<std::pair<std::string, std::int64_t>, Members> units;
  for (auto& [name, worker] : this->workers) {
    for (auto& [task, run] : worker.Runs()) {
      const std::string unit = UnitOf(task, this->StepOf(task));
      Members& members = units[{ unit, run.run }];
      members.runs.push_back(&run);
      members.places.emplace_back(&worker, task);
    }
  }
  for (auto& [unit, members] : units) {
    const SiteStep& step = this->StepOf(members.places.front().second);
    const std::size_t wanted = step.isGang ? step.count : 1;
    const bool isWhole = members.runs.size() == wanted;
    bool wasWhole = false;
    std::int64_t oldest = this->nowMs;
    std::int64_t whole = 0;
    for (SiteRun* run : members.runs) {
      wasWhole = wasWhole || run->wholeMs > 0;
      if (isWhole && run->wholeMs == 0) {
        run->wholeMs = this->nowMs;
      }
      oldest = std::min(oldest, run->startedMs);
      whole = std::max(whole, run->wholeMs);
    }
    std::string how;
    if (!isWhole && wasWhole) {
      how = "broken";
    } else if (!isWhole && this->nowMs >= oldest + kAloneMs) {
      how = "alone";
    } else if (isWhole && this->nowMs >= whole + step.workMs) {
      how = step.fails ? "failed" : "done";
    }
    bool isFirst = true;
    for (const auto& [worker, task] : members.places) {
      if (!how.empty()) {
        worker->End(task, how == "failed" && !isFirst ? "broken" : how);
        isFirst = false;
      }
    }
  }
}

}
