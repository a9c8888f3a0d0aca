#include "tests/stand_ins/site_service.h"

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
constexpr int kWorkersPerRack = 3;

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
    worker.rack = "r1-" + std::to_string(index / kWorkersPerRack);
    worker.address = aAddress;
    worker.incarnation = ++this->lastIncarnation;
    this->simulation.workers[worker.name] = worker;
    this->Register(worker);
  }
  asio::co_spawn(aContext, this->Tick(), asio::detached);
}

void
SiteService::Register(const SiteWorker& aWorker)
{
  const json entry = { { "Service", "s1" },
                       { "Addr", aWorker.address },
                       { "Zone", "zone" },
                       { "State", aWorker.isLeaving ? "draining" : "ready" },
                       { "Capacity",
                         { { "Cpu", aWorker.milliCores },
                           { "MemMb", aWorker.memoryMb },
                           { "Gpu", aWorker.accelerators } } },
                       { "Labels", { "a", aWorker.rack } },
                       { "born", aWorker.incarnation } };
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
  while (true) {
    co_await this->Pause(kTick);
    const auto now =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - started);
    this->simulation.Advance(now.count() - this->simulation.nowMs);
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
    co_return Answer(200,
                     this->store.Range(target.Query("Table"),
                                       target.Query("part"),
                                       target.Query("From"),
                                       target.Query("Target")));
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
      const json changes = this->store.Changes(table, after);
      if (!changes["rows"].empty() || Clock::now() >= deadline) {
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
  const auto found = this->simulation.workers.find(name);
  if (!body.is_object() || found == this->simulation.workers.end()) {
    co_return Answer(421, json::object());
  }
  if (this->faults.value("silent", "") == name) {
    co_await this->Pause(kHangTime);
  }
  const Instant deadline =
    Clock::now() + Milliseconds(body.value("WaitMs", std::int64_t{ 0 }));
  const std::int64_t incarnation = found->second.incarnation;
  HttpAnswer answer = this->ExecuteOrder(aRequest, body);
  while (answer.status == 200 && aRequest.target == "/api/hold" &&
         this->HasIncarnation(name, incarnation) &&
         this->simulation.workers.at(name).Ends().empty() &&
         Clock::now() < deadline) {
    co_await this->Pause(Milliseconds(20));
    if (!this->HasIncarnation(name, incarnation)) {
      break;
    }
    answer = this->ExecuteOrder(aRequest, body);
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
  co_return answer;
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
  json answer = { { "ClockMs", this->simulation.nowMs } };
  if (outcome == "unhealthy") {
    return Answer(503, json::object());
  }
  if (outcome != "ok") {
    answer["Reason"] = outcome;
    return Answer(409, answer);
  }
  if (aRequest.target == "/api/hold") {
    answer["born"] = worker.incarnation;
    answer["Running"] = json::array();
    answer["Ended"] = json::array();
    for (const auto& [name, current] : worker.Runs()) {
      answer["Running"].push_back({ name, current.run, "", 0 });
    }
    for (const SiteEnd& end : worker.ListedEnds()) {
      answer["Ended"].push_back(
        { end.number, end.task, end.run, end.outcome, "" });
    }
  }
  return Answer(200, answer);
}

/** Replaces a worker by a new incarnation under another name. */
void
SiteService::Replace(const std::string& aWorker)
{
  SiteWorker next = this->simulation.workers.at(aWorker);
  this->simulation.workers.erase(aWorker);
  next.Restart(++this->lastIncarnation);
  next.name = "w" + std::to_string(this->lastIncarnation);
  this->Register(next);
  this->simulation.workers[next.name] = std::move(next);
}

HttpAnswer
SiteService::HandleControl(const HttpRequest& aRequest)
{
  const json body = json::parse(aRequest.body, nullptr, false);
  if (aRequest.target == "/control/config") {
    this->store.Put("op", "config", aRequest.body);
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
  } else if (aRequest.target == "/control/restart") {
    SiteWorker& worker = this->simulation.workers.at(body.value("worker", ""));
    worker.Restart(++this->lastIncarnation);
    this->Register(worker);
  } else if (aRequest.target == "/control/replace") {
    this->Replace(body.value("worker", ""));
  } else if (aRequest.target == "/control/leave") {
    SiteWorker& worker = this->simulation.workers.at(body.value("worker", ""));
    worker.isLeaving = true;
    this->Register(worker);
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
                  { "starts", this->simulation.Starts() },
                  { "running", running } });
}

}
