#include "review/stand_in/minion.h"

#include "review/stand_in/words.h"

#include <algorithm>
#include <utility>

namespace review {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr std::size_t kMaxListedEnds = 500;
constexpr std::int64_t kFullPercent = 100;

}

Minion::Minion(std::string aName,
               std::int64_t aBornMs,
               std::int64_t aMaxLeaseMs,
               std::int64_t aStopMs,
               RunEvent aOnRun)
  : name(std::move(aName))
  , bornMs(aBornMs)
  , maxLeaseMs(aMaxLeaseMs)
  , stopMs(aStopMs)
  , onRun(std::move(aOnRun))
{
}

bool
Minion::IsFenced(const json& aBody)
{
  const std::int64_t given = aBody.value(Word("token"), std::int64_t{ 0 });
  if (given < this->token) {
    return true;
  }
  this->token = given;
  return false;
}

void
Minion::Extend(const json& aBody, std::int64_t aNowMs)
{
  const std::int64_t until = aBody.value(Word("until"), std::int64_t{ 0 });
  this->leaseUntilMs =
    std::max(this->leaseUntilMs,
             std::min(until, this->ClockMs(aNowMs) + this->maxLeaseMs));
}

int
Minion::Order(const std::string& aPath,
              const json& aBody,
              const WorkOf& aWorkOf,
              std::int64_t aNowMs,
              json& aAnswer)
{
  const bool isStart = aPath == Word("start");
  if (isStart && this->startStatus != 0) {
    aAnswer = json::object();
    return this->startStatus;
  }
  this->Advance(aNowMs);
  const std::string task = aBody.value("Task", "");
  const std::int64_t run = aBody.value("Run", std::int64_t{ 0 });
  aAnswer = { { Word("clock"), this->ClockMs(aNowMs) } };
  if (this->IsFenced(aBody)) {
    aAnswer["Reason"] = "fence";
    return kConflict;
  }
  const auto current = this->runs.find(task);
  if (!isStart) {
    if (current != this->runs.end() && current->second.run <= run &&
        current->second.stopAtMs == 0) {
      current->second.stopAtMs = aNowMs + this->stopMs;
    }
    this->pastRuns[task] = std::max(this->pastRuns[task], run);
    return kOk;
  }
  const std::int64_t until = aBody.value(Word("until"), std::int64_t{ 0 });
  if (until <= this->ClockMs(aNowMs)) {
    aAnswer["Reason"] = "late";
    return kConflict;
  }
  this->Extend(aBody, aNowMs);
  if (current != this->runs.end() && current->second.run == run) {
    return kOk;
  }
  if (current != this->runs.end() || run <= this->pastRuns[task]) {
    aAnswer["Reason"] = "old";
    return kConflict;
  }
  this->runs[task] = Run{ run, aNowMs, aWorkOf(task, run), 0 };
  this->onRun(this->name, task, run, "start");
  return kOk;
}

int
Minion::Hold(const json& aBody, std::int64_t aNowMs, json& aAnswer)
{
  this->Advance(aNowMs);
  if (this->IsFenced(aBody)) {
    aAnswer = { { Word("clock"), this->ClockMs(aNowMs) },
                { "Reason", "fence" } };
    return kConflict;
  }
  this->Extend(aBody, aNowMs);
  const std::int64_t acknowledged =
    aBody.value(Word("acknowledged"), std::int64_t{ 0 });
  std::erase_if(this->ends, [this, acknowledged](const End& aEnd) {
    const bool isNoted = aEnd.number <= acknowledged;
    if (isNoted) {
      this->onRun(this->name, aEnd.task, aEnd.run, "noted " + aEnd.outcome);
    }
    return isNoted;
  });
  return kOk;
}

json
Minion::Report(std::int64_t aNowMs) const
{
  json running = json::array();
  for (const auto& [task, run] : this->runs) {
    const std::int64_t length = std::max<std::int64_t>(run.work.lengthMs, 1);
    const std::int64_t percent =
      std::min(kFullPercent, kFullPercent * (aNowMs - run.startedMs) / length);
    running.push_back({ task, run.run, "", percent, 0 });
  }
  json ended = json::array();
  for (const End& end : this->ends) {
    if (ended.size() == kMaxListedEnds) {
      break;
    }
    ended.push_back({ end.number, end.task, end.run, end.outcome, "" });
  }
  return { { Word("clock"), this->ClockMs(aNowMs) },
           { "born", this->bornMs },
           { "Running", std::move(running) },
           { "Ended", std::move(ended) } };
}

std::size_t
Minion::RunningOf(const std::string& aJob) const
{
  return static_cast<std::size_t>(std::count_if(
    this->runs.begin(), this->runs.end(), [&aJob](const auto& aRun) {
      return aRun.first.starts_with(aJob + ".");
    }));
}

void
Minion::EndRun(const std::string& aTask, const std::string& aOutcome)
{
  const auto found = this->runs.find(aTask);
  const std::int64_t run = found->second.run;
  this->runs.erase(found);
  this->pastRuns[aTask] = std::max(this->pastRuns[aTask], run);
  this->ends.push_back(End{ ++this->lastEnd, aTask, run, aOutcome });
  this->onRun(this->name, aTask, run, aOutcome);
}

void
Minion::Advance(std::int64_t aNowMs)
{
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto& [task, run] : this->runs) {
    if (this->ClockMs(aNowMs) >= this->leaseUntilMs) {
      due.emplace_back(task, "lapsed");
    } else if (run.stopAtMs != 0 && aNowMs >= run.stopAtMs) {
      due.emplace_back(task, "stopped");
    } else if (aNowMs >= run.startedMs + run.work.lengthMs) {
      due.emplace_back(task, run.work.outcome);
    }
  }
  for (const auto& [task, outcome] : due) {
    this->EndRun(task, outcome);
  }
}

}
