#include "tests/stand_ins/site_service.h"

#include "core/wall_time.h"
#include "links/http_target.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardinecourse {

using nlohmann::json;
namespace asio = boost::asio;

namespace {

constexpr Milliseconds kTick{ 50 };
/** Longer than any client's timeout, so that the call hangs for the client. */
constexpr Milliseconds kHangTime{ 20'000 };
/** An order that a cut holds up for longer is lost, since its caller has closed
 * the connection. */
constexpr Milliseconds kMaxHeldUp{ 1500 };
constexpr int kWorkersPerRack = 3;
/** Data centres of the workers that the stand-in starts with. */
constexpr int kDataCentres = 2;
/** Time after which the entry of a silent worker is removed: three of its
 * heartbeats. */
constexpr Milliseconds kEntryTime{ 4500 };
/** Time between two comparisons of the jobs with what runs. */
constexpr int kTicksPerUpdate = 4;

HttpAnswer
Answer(int aStatus, const json& aBody)
{
  HttpAnswer answer;
  answer.status = aStatus;
  answer.fields.Add("Content-Type", "application/json");
  answer.body = aBody.dump();
  return answer;
}

std::int64_t
StoreTimeMs()
{
  return std::chrono::duration_cast<Milliseconds>(
           Clock::now().time_since_epoch())
    .count();
}

std::int64_t
NumberOf(const std::string& aText)
{
  return aText.empty() ? 0 : std::stoll(aText);
}

}

SiteService::SiteService(asio::io_context& aContext,
                         const std::string& aAddress,
                         int aWorkers)
  : context(&aContext)
{
  for (int index = 0; index < aWorkers; ++index) {
    SiteWorker worker;
    worker.name = "i-" + std::to_string(index);
    const int rack = index / kWorkersPerRack;
    worker.rack = "r1-" + std::to_string(rack);
    worker.dataCentre = "zone-" + std::to_string(rack % kDataCentres);
    worker.address = aAddress;
    worker.incarnation = this->NextIncarnation();
    this->simulation.workers[worker.name] = worker;
    this->Register(worker);
  }
  asio::co_spawn(aContext, this->Tick(), asio::detached);
}

void
SiteService::Register(const SiteWorker& aWorker)
{
  json entry = { { "Service", "s1" },
                 { "Addr", aWorker.address },
                 { "Zone", aWorker.dataCentre },
                 { "State", aWorker.isLeaving ? "draining" : "ready" },
                 { "Capacity",
                   { { "Cpu", aWorker.milliCores },
                     { "MemMb", aWorker.memoryMb },
                     { "Gpu", aWorker.accelerators } } },
                 { "Labels", { "a", aWorker.rack } },
                 { "born", aWorker.incarnation } };
  if (aWorker.isLeaving && aWorker.remainingMs > 0) {
    entry["RemainingMs"] = aWorker.remainingMs;
  }
  this->store.Put("servers", aWorker.name, entry.dump());
}

asio::awaitable<void>
SiteService::Pause(Milliseconds aTime)
{
  boost::system::error_code ignored;
  asio::steady_timer timer(*this->context, aTime);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void>
SiteService::Tick()
{
  const Instant started = Clock::now();
  for (int tick = 1;; ++tick) {
    co_await this->Pause(kTick);
    const auto now =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - started);
    this->simulation.Advance(now.count() - this->simulation.nowMs);
    if (tick % kTicksPerUpdate == 0) {
      this->idleJobs.Update(this->simulation);
    }
  }
}

asio::awaitable<HttpAnswer>
SiteService::Handle(HttpRequest aRequest)
{
  HttpAnswer answer;
  if (aRequest.target.starts_with("/control/")) {
    co_return this->HandleControl(aRequest);
  }
  if (aRequest.target.starts_with("/api/rows-feed")) {
    answer = co_await this->HandleFeed(std::move(aRequest));
  } else if (aRequest.target.starts_with("/api/rows-")) {
    answer = co_await this->HandleStore(std::move(aRequest));
  } else {
    answer = co_await this->HandleWorker(std::move(aRequest));
  }
  co_return answer;
}

asio::awaitable<HttpAnswer>
SiteService::HandleStore(HttpRequest aRequest)
{
  const std::string storeFault = this->faults.value("store", "");
  if (storeFault == "hang") {
    co_await this->Pause(kHangTime);
  }
  if (!storeFault.empty()) {
    co_return Answer(503, json::object());
  }
  const HttpTarget target(aRequest.target);
  if (target.Path() == "/api/rows-get") {
    json range = this->store.Range(target.Query("Table"),
                                   target.Query("part"),
                                   target.Query("From"),
                                   target.Query("Target"));
    range["NowMs"] = StoreTimeMs();
    co_return Answer(200, range);
  }
  const json transaction = json::parse(aRequest.body, nullptr, false);
  if (const std::string refusal = SiteStore::Refusal(transaction);
      !refusal.empty()) {
    co_return Answer(400, { { "Error", refusal } });
  }
  json body;
  const bool isApplied = this->store.Apply(transaction, body);
  const int lossesLeft = this->faults.value("lose_commits", 0);
  if (lossesLeft > 0) {
    this->faults["lose_commits"] = lossesLeft - 1;
    co_await this->Pause(kHangTime);
  }
  body["NowMs"] = StoreTimeMs();
  co_return Answer(isApplied ? 200 : 412, body);
}

asio::awaitable<HttpAnswer>
SiteService::HandleFeed(HttpRequest aRequest)
{
  const HttpTarget target(aRequest.target);
  const std::string table = target.Query("Table");
  const std::int64_t after = NumberOf(target.Query("DependsOn"));
  const Instant deadline =
    Clock::now() + Milliseconds(NumberOf(target.Query("WaitMs")));
  while (true) {
    const std::string storeFault = this->faults.value("store", "");
    if (storeFault == "refuse") {
      co_return Answer(503, json::object());
    }
    if (storeFault.empty()) {
      if (!this->store.HasHistory(after)) {
        co_return Answer(410, json::object());
      }
      if (this->store.HasChanges(table, after) || Clock::now() >= deadline) {
        json changes = this->store.Changes(table, after);
        changes["NowMs"] = StoreTimeMs();
        co_return Answer(200, changes);
      }
    }
    co_await this->Pause(Milliseconds(5));
  }
}

asio::awaitable<HttpAnswer>
SiteService::HandleWorker(HttpRequest aRequest)
{
  const json body = json::parse(aRequest.body, nullptr, false);
  const std::string name(aRequest.fields.Find("X-Expect-Instance"));
  if (this->faults.value("silent", "") == name) {
    co_await this->Pause(kHangTime);
  }
  const Instant arrived = Clock::now();
  co_await this->WaitForLink(name);
  if (Clock::now() > arrived + kMaxHeldUp) {
    co_return Answer(503, json::object());
  }
  // The worker may have been replaced or have restarted meanwhile.
  const auto found = this->simulation.workers.find(name);
  if (!body.is_object() || found == this->simulation.workers.end()) {
    co_return Answer(421, json::object());
  }
  const Instant deadline =
    Clock::now() + Milliseconds(body.value("WaitMs", std::int64_t{ 0 }));
  const std::int64_t incarnation = found->second.incarnation;
  HttpAnswer answer = this->ExecuteOrder(aRequest, body);
  bool hasWaited = false;
  while (answer.status == 200 && aRequest.target == "/api/hold" &&
         this->HasIncarnation(name, incarnation) &&
         this->simulation.workers.at(name).Ends().empty() &&
         Clock::now() < deadline) {
    co_await this->Pause(Milliseconds(20));
    hasWaited = true;
  }
  if (hasWaited && this->HasIncarnation(name, incarnation)) {
    answer = this->WorkerReport(this->simulation.workers.at(name));
  }
  if (!this->HasIncarnation(name, incarnation)) {
    // A crashed process sends no answer. A handler cannot close the connection
    // without one, so it delays the answer beyond the client's timeout.
    co_await this->Pause(kHangTime);
  }
  const int lossesLeft = this->faults.value("lose_orders", 0);
  if (lossesLeft > 0 && aRequest.target != "/api/hold") {
    this->faults["lose_orders"] = lossesLeft - 1;
    co_await this->Pause(kHangTime);
  }
  co_await this->WaitForLink(name);
  co_return answer;
}

asio::awaitable<void>
SiteService::WaitForLink(std::string aWorker)
{
  const auto isCutOff = [this, &aWorker] {
    const auto found = this->simulation.workers.find(aWorker);
    return found != this->simulation.workers.end() && found->second.isCutOff;
  };
  while (isCutOff()) {
    co_await this->Pause(Milliseconds(20));
  }
}

bool
SiteService::HasIncarnation(const std::string& aWorker,
                            std::int64_t aIncarnation) const
{
  const auto found = this->simulation.workers.find(aWorker);
  return found != this->simulation.workers.end() &&
         found->second.incarnation == aIncarnation;
}

HttpAnswer
SiteService::ExecuteOrder(const HttpRequest& aRequest, const json& aBody)
{
  SiteWorker& worker = this->simulation.workers.at(
    std::string(aRequest.fields.Find("X-Expect-Instance")));
  const std::int64_t token = aBody.value("FencingToken", std::int64_t{ 0 });
  const std::int64_t untilMs = aBody.value("DeadlineMs", std::int64_t{ 0 });
  const std::int64_t run = aBody.value("Run", std::int64_t{ 0 });
  const std::string task = aBody.value("Task", "");
  SiteAnswer outcome;
  if (aRequest.target == "/api/run-start") {
    outcome = this->simulation.Start(worker.name, task, run, untilMs, token);
  } else if (aRequest.target == "/api/run-stop") {
    outcome = worker.Stop(task, run, token, this->simulation.nowMs);
  } else {
    outcome = this->simulation.Hold(
      worker.name, untilMs, aBody.value("AckCursor", std::int64_t{ 0 }), token);
  }
  json answer = { { "ClockMs", worker.ClockAt(this->simulation.nowMs) } };
  if (outcome == "unhealthy") {
    return Answer(503, json::object());
  }
  if (outcome != "ok") {
    answer["Reason"] = outcome;
    return Answer(409, answer);
  }
  return aRequest.target == "/api/hold" ? this->WorkerReport(worker)
                                        : Answer(200, answer);
}

HttpAnswer
SiteService::WorkerReport(const SiteWorker& aWorker) const
{
  json answer = { { "ClockMs", aWorker.ClockAt(this->simulation.nowMs) },
                  { "born", aWorker.incarnation },
                  { "Running", json::array() },
                  { "Ended", json::array() } };
  for (const auto& [name, current] : aWorker.Runs()) {
    answer["Running"].push_back(
      { name, current.run, "", current.PercentAt(this->simulation.nowMs) });
  }
  for (const SiteEnd& end : aWorker.ListedEnds()) {
    answer["Ended"].push_back(
      { end.number, end.task, end.run, end.outcome, "" });
  }
  return Answer(200, answer);
}

void
SiteService::AddWorkers(const json& aBody)
{
  const json speeds = aBody.value("speeds", json::array({ 1.0 }));
  const int perRack = aBody.value("per_rack", kWorkersPerRack);
  // Racks belong to the data centres by turns.
  const json dataCentres = aBody.value("data_centres", json::array({ "zone" }));
  for (const json& address : aBody.at("addresses")) {
    const int index = this->addedWorkers++;
    SiteWorker worker;
    worker.name = "w-" + std::to_string(index);
    worker.rack = "rack-" + std::to_string(index / perRack);
    worker.address = address;
    worker.dataCentre = dataCentres.at(
      static_cast<std::size_t>(index / perRack) % dataCentres.size());
    worker.milliCores = aBody.value("milli_cores", worker.milliCores);
    worker.memoryMb = aBody.value("memory_mb", worker.memoryMb);
    worker.accelerators = aBody.value("accelerators", worker.accelerators);
    worker.maxLeaseMs = aBody.value("lease_ms", worker.maxLeaseMs);
    worker.stopDelayMs = aBody.value("stop_ms", worker.stopDelayMs);
    worker.runTimeFactor =
      speeds.at(static_cast<std::size_t>(index) % speeds.size());
    worker.incarnation = this->NextIncarnation();
    this->Register(worker);
    this->simulation.workers[worker.name] = std::move(worker);
  }
}

void
SiteService::AddJob(const json& aBody)
{
  const std::string job = aBody.value("job", "");
  std::size_t number = 0;
  for (const json& item : aBody.at("steps")) {
    SiteStep step;
    step.count = item.value("count", 1);
    step.isGang = item.value("gang", false);
    step.milliCores = item.value("milli_cores", std::int64_t{ 0 });
    step.memoryMb = item.value("memory_mb", std::int64_t{ 0 });
    step.accelerators = item.value("accelerators", std::int64_t{ 0 });
    step.taskWorkMs = item.value("work_ms", std::vector<std::int64_t>());
    step.maxAttempts = aBody.value("attempts", 3);
    step.fails = aBody.value("fails", false);
    step.failureShare = aBody.value("failure_share", 0.0);
    step.prefersOneRack = item.value("one_rack", false);
    step.dataRack = item.value("data_rack", "");
    this->simulation.steps[job + ".0." + std::to_string(number++)] =
      std::move(step);
  }
}

json
SiteService::IdleReport() const
{
  json idle = json::array();
  for (const IdleJob& job : this->idleJobs.Current()) {
    idle.push_back({ { "job", job.job },
                     { "idle_ms", this->simulation.nowMs - job.sinceMs },
                     { "last_worker", job.lastWorker },
                     { "last_seen_ms", job.lastSeenMs },
                     { "needed", job.needed },
                     { "fitting", job.fitting } });
  }
  return { { "now_ms", this->simulation.nowMs },
           { "used_share", this->idleJobs.UsedShare() },
           { "idle", idle },
           { "longest_ms", this->idleJobs.LongestMs() } };
}

asio::awaitable<void>
SiteService::ExpireEntry(std::string aWorker, std::int64_t aIncarnation)
{
  co_await this->Pause(kEntryTime);
  const auto ended = this->endedWorkers.find(aWorker);
  if (ended != this->endedWorkers.end() &&
      ended->second.incarnation == aIncarnation) {
    this->store.Remove("servers", aWorker);
  }
}

std::optional<HttpAnswer>
SiteService::HandleJobControl(const std::string& aCommand, const json& aBody)
{
  const std::string job = aBody.is_object() ? aBody.value("job", "") : "";
  if (aCommand == "job") {
    this->AddJob(aBody);
  } else if (aCommand == "follow") {
    this->idleJobs.Add(job, aBody.value("steps", 1));
  } else if (aCommand == "unfollow") {
    this->idleJobs.Remove(job);
  } else if (aCommand == "idle") {
    return Answer(200, this->IdleReport());
  } else if (aCommand == "judge") {
    bool isDone = true;
    bool isFailed = false;
    for (auto step = this->simulation.steps.lower_bound(job + ".");
         step != this->simulation.steps.end() &&
         step->first.starts_with(job + ".");
         ++step) {
      for (const std::string& unit :
           SiteSimulation::UnitsOf(step->first, step->second)) {
        isDone = isDone && this->simulation.HasDone(unit);
        isFailed = isFailed || this->simulation.HasFailed(unit, step->second);
      }
    }
    return Answer(200, { { "done", isDone }, { "failed", isFailed } });
  } else {
    return std::nullopt;
  }
  return Answer(200, json::object());
}

/** A worker is identified by the Unix time of its start, in ms. */
std::int64_t
SiteService::NextIncarnation()
{
  this->lastIncarnation =
    std::max(this->lastIncarnation + 1, WallNow().time_since_epoch().count());
  return this->lastIncarnation;
}

/** Replaces a worker by a new incarnation under another name. */
void
SiteService::Replace(const std::string& aWorker)
{
  SiteWorker next = this->simulation.workers.at(aWorker);
  this->simulation.workers.erase(aWorker);
  next.Restart(this->NextIncarnation(), this->simulation.nowMs);
  next.name = "w" + std::to_string(this->lastIncarnation);
  next.isCutOff = false;
  this->Register(next);
  this->simulation.workers[next.name] = std::move(next);
}

void
SiteService::HandleWorkerControl(const std::string& aCommand, const json& aBody)
{
  const std::string name = aBody.is_object() ? aBody.value("worker", "") : "";
  if (aCommand == "restart" && this->endedWorkers.contains(name)) {
    this->simulation.workers[name] = this->endedWorkers.at(name);
    this->endedWorkers.erase(name);
  }
  const auto found = this->simulation.workers.find(name);
  if (found == this->simulation.workers.end()) {
    return;
  }
  SiteWorker& worker = found->second;
  if (aCommand == "restart") {
    worker.Restart(this->NextIncarnation(), this->simulation.nowMs);
    worker.isReachable = true;
    this->Register(worker);
  } else if (aCommand == "replace") {
    this->Replace(name);
  } else if (aCommand == "leave") {
    worker.isLeaving = true;
    worker.remainingMs = aBody.value("remaining_ms", std::int64_t{ 0 });
    this->Register(worker);
  } else if (aCommand == "cut") {
    worker.isCutOff = aBody.value("is_cut", true);
  } else if (aCommand == "reach") {
    worker.isReachable = aBody.value("reachable", true);
  } else if (aCommand == "exit") {
    this->simulation.End(name);
    const std::int64_t incarnation = worker.incarnation;
    this->endedWorkers[name] = worker;
    this->simulation.workers.erase(name);
    if (aBody.value("planned", true)) {
      this->store.Remove("servers", name);
    } else {
      asio::co_spawn(
        *this->context, this->ExpireEntry(name, incarnation), asio::detached);
    }
  }
}

HttpAnswer
SiteService::HandleControl(const HttpRequest& aRequest)
{
  const json body = json::parse(aRequest.body, nullptr, false);
  const std::string command =
    aRequest.target.substr(std::string("/control/").size());
  if (auto answer = this->HandleJobControl(command, body)) {
    return *answer;
  }
  if (aRequest.target == "/control/config") {
    this->store.Put("op", "config", aRequest.body);
  } else if (aRequest.target == "/control/evacuate") {
    const std::string dataCentre = body.value("data_centre", "");
    this->simulation.Evacuate(dataCentre, body.value("bound_ms", 0));
    this->store.Put("op", "evacuate/" + dataCentre, "{}");
  } else if (aRequest.target == "/control/take_back") {
    const std::string dataCentre = body.value("data_centre", "");
    this->simulation.TakeBack(dataCentre);
    this->store.Remove("op", "evacuate/" + dataCentre);
  } else if (aRequest.target == "/control/faults") {
    this->faults = body;
  } else if (aRequest.target == "/control/compact") {
    this->store.Compact();
  } else if (aRequest.target == "/control/step") {
    SiteStep step;
    step.count = body.value("count", 1);
    step.isGang = body.value("gang", false);
    step.accelerators = body.value("accelerators", std::int64_t{ 0 });
    step.workMs = body.value("work_ms", std::int64_t{ 1000 });
    this->simulation.steps[body.value("name", "")] = step;
  } else if (aRequest.target == "/control/forbid") {
    this->simulation.Forbid(body.value("job", ""));
  } else if (aRequest.target == "/control/workers") {
    this->AddWorkers(body);
  } else {
    this->HandleWorkerControl(command, body);
  }
  json running = json::array();
  for (auto& [name, worker] : this->simulation.workers) {
    for (const auto& [task, run] : worker.Runs()) {
      running.push_back({ task, run.run, name });
    }
  }
  json names = json::array();
  for (const auto& [name, worker] : this->simulation.workers) {
    names.push_back(name);
  }
  return Answer(200,
                { { "workers", names },
                  { "violations", this->simulation.Violations() },
                  { "now_ms", this->simulation.nowMs },
                  { "starts", this->simulation.Starts() },
                  { "running", running } });
}

}
