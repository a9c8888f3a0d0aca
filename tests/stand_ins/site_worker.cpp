#include "tests/stand_ins/site_worker.h"

#include <algorithm>

namespace sardinecourse {

bool
SiteWorker::RejectsToken(std::int64_t aToken)
{
  if (aToken < this->token) {
    return true;
  }
  this->token = aToken;
  return false;
}

void
SiteWorker::Extend(std::int64_t aUntilMs, std::int64_t aNowMs)
{
  this->leaseUntilMs =
    std::max(this->leaseUntilMs, std::min(aUntilMs, aNowMs + this->maxLeaseMs));
}

SiteAnswer
SiteWorker::Start(const std::string& aTask,
                  std::int64_t aRun,
                  std::int64_t aUntilMs,
                  std::int64_t aToken,
                  std::int64_t aNowMs)
{
  if (this->isUnhealthy) {
    ++this->refusedStarts;
    return "unhealthy";
  }
  if (this->RejectsToken(aToken)) {
    return "fence";
  }
  this->Extend(aUntilMs, aNowMs);
  const auto current = this->runs.find(aTask);
  if (current != this->runs.end() && current->second.run == aRun) {
    return "ok";
  }
  if (current != this->runs.end() || aRun <= this->highestPastRuns[aTask]) {
    return "old";
  }
  if (aUntilMs <= aNowMs) {
    return "late";
  }
  this->runs[aTask] = SiteRun{ aRun, aNowMs };
  return "ok";
}

SiteAnswer
SiteWorker::Stop(const std::string& aTask,
                 std::int64_t aRun,
                 std::int64_t aToken,
                 std::int64_t aNowMs)
{
  if (this->RejectsToken(aToken)) {
    return "fence";
  }
  const auto current = this->runs.find(aTask);
  if (current != this->runs.end() && current->second.run <= aRun) {
    current->second.stopAtMs = current->second.stopAtMs == 0
                                 ? aNowMs + this->stopDelayMs
                                 : current->second.stopAtMs;
  }
  std::int64_t& highestPastRun = this->highestPastRuns[aTask];
  highestPastRun = std::max(highestPastRun, aRun);
  return "ok";
}

SiteAnswer
SiteWorker::Hold(std::int64_t aUntilMs,
                 std::int64_t aAcknowledged,
                 std::int64_t aToken,
                 std::int64_t aNowMs)
{
  if (this->RejectsToken(aToken)) {
    return "fence";
  }
  this->Extend(aUntilMs, aNowMs);
  std::erase_if(this->ends, [aAcknowledged](const SiteEnd& aEnd) {
    return aEnd.number <= aAcknowledged;
  });
  return "ok";
}

std::vector<SiteEnd>
SiteWorker::ListedEnds() const
{
  const std::size_t count = std::min(this->ends.size(), kMaxListedEnds);
  return std::vector<SiteEnd>(this->ends.begin(),
                              this->ends.begin() +
                                static_cast<std::ptrdiff_t>(count));
}

void
SiteWorker::End(const std::string& aTask, const std::string& aOutcome)
{
  const auto current = this->runs.find(aTask);
  if (current == this->runs.end()) {
    return;
  }
  std::int64_t& highestPastRun = this->highestPastRuns[aTask];
  highestPastRun = std::max(highestPastRun, current->second.run);
  this->ends.push_back(
    SiteEnd{ ++this->lastEndNumber, aTask, current->second.run, aOutcome });
  this->runs.erase(current);
}

void
SiteWorker::Advance(std::int64_t aNowMs)
{
  std::vector<std::string> stopped;
  for (const auto& [task, run] : this->runs) {
    if (run.stopAtMs != 0 && run.stopAtMs <= aNowMs) {
      stopped.push_back(task);
    }
  }
  for (const std::string& task : stopped) {
    this->End(task, "stopped");
  }
  while (aNowMs >= this->leaseUntilMs && !this->runs.empty()) {
    this->End(this->runs.begin()->first, "lapsed");
  }
}

void
SiteWorker::Restart(std::int64_t aIncarnation, std::int64_t aNowMs)
{
  this->incarnation = aIncarnation;
  this->startedMs = aNowMs;
  this->isLeaving = false;
  this->remainingMs = 0;
  this->token = 0;
  this->leaseUntilMs = 0;
  this->lastEndNumber = 0;
  this->runs.clear();
  this->highestPastRuns.clear();
  this->ends.clear();
}

}
