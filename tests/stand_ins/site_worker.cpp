#include "tests/stand_ins/site_worker.h"

#include <algorithm>

namespace sardinecourse {

bool
SiteWorker::Refuses(std::int64_t aToken)
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
    std::max(this->leaseUntilMs, std::min(aUntilMs, aNowMs + kLongestLeaseMs));
}

SiteAnswer
SiteWorker::Start(const std::string& aTask,
                  std::int64_t aRun,
                  std::int64_t aUntilMs,
                  std::int64_t aToken,
                  std::int64_t aNowMs)
{
  if (this->Refuses(aToken)) {
    return "fence";
  }
  this->Extend(aUntilMs, aNowMs);
  const auto present = this->runs.find(aTask);
  if (present != this->runs.end() && present->second.run == aRun) {
    return "ok";
  }
  if (present != this->runs.end() || aRun <= this->past[aTask]) {
    return "old";
  }
  if (aUntilMs <= aNowMs) {
    return "late";
  }
  this->runs[aTask] = SiteRun{ aRun, aNowMs, 0, 0 };
  return "ok";
}

SiteAnswer
SiteWorker::Stop(const std::string& aTask,
                 std::int64_t aRun,
                 std::int64_t aToken,
                 std::int64_t aNowMs)
{
  if (this->Refuses(aToken)) {
    return "fence";
  }
  const auto present = this->runs.find(aTask);
  if (present != this->runs.end() && present->second.run <= aRun) {
    present->second.stopAtMs = present->second.stopAtMs == 0
                                 ? aNowMs + kStopMs
                                 : present->second.stopAtMs;
  }
  std::int64_t& past = this->past[aTask];
  past = std::max(past, aRun);
  return "ok";
}

SiteAnswer
SiteWorker::Hold(std::int64_t aUntilMs,
                 std::int64_t aAcknowledged,
                 std::int64_t aToken,
                 std::int64_t aNowMs)
{
  if (this->Refuses(aToken)) {
    return "fence";
  }
  this->Extend(aUntilMs, aNowMs);
  std::erase_if(this->ends, [aAcknowledged](const SiteEnd& aEnd) {
    return aEnd.number <= aAcknowledged;
  });
  return "ok";
}

void
SiteWorker::End(const std::string& aTask, const std::string& aOutcome)
{
  const auto present = this->runs.find(aTask);
  if (present == this->runs.end()) {
    return;
  }
  std::int64_t& past = this->past[aTask];
  past = std::max(past, present->second.run);
  this->ends.push_back(
    SiteEnd{ ++this->lastEnd, aTask, present->second.run, aOutcome });
  this->runs.erase(present);
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
SiteWorker::Restart(std::int64_t aBorn)
{
  this->born = aBorn;
  this->token = 0;
  this->leaseUntilMs = 0;
  this->lastEnd = 0;
  this->runs.clear();
  this->past.clear();
  this->ends.clear();
}

}
