#include "codecs/json_fields.h"
#include "codecs/worker_json.h"
#include "core/reason.h"
#include "links/http_server.h"
#include "worker_model.h"

#include <boost/asio/steady_timer.hpp>
#include <iostream>
#include <memory>
#include <vector>

namespace sardinecourse {

namespace {

constexpr Milliseconds kTick{ 10 };
/** Delays an answer beyond the client's timeout. */
constexpr Milliseconds kHangTime{ 30000 };
constexpr int kRefused = 500;
constexpr int kNotFound = 404;

/** Serves one worker's commands on one port. POST /faults replaces its faults,
 * and GET /record returns the history of all workers. */
class WorkerHandler
{
public:
  WorkerHandler(boost::asio::io_context& aContext,
                const std::string& aName,
                TaskHistory& aHistory)
    : context(&aContext)
    , model(aName, aHistory)
    , history(&aHistory)
  {
  }

  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest)
  {
    if (aRequest.target == "/record") {
      HttpAnswer record;
      record.body = this->history->dump();
      co_return record;
    }
    if (aRequest.target == "/faults") {
      this->SetFaults(aRequest.body);
      co_return HttpAnswer{};
    }
    if (this->model.FaultValue("dead") != 0) {
      co_await this->Wait(kHangTime);
    }
    co_await this->Wait(Milliseconds(this->model.FaultValue("slow_ms")));
    HttpAnswer answer = this->Answer(aRequest);
    if (this->model.FaultValue("lose_answers") != 0) {
      co_await this->Wait(kHangTime);
    }
    co_return answer;
  }

  WorkerModel& Model() { return this->model; }

private:
  boost::asio::awaitable<void> Wait(Milliseconds aTime)
  {
    if (aTime.count() > 0) {
      boost::asio::steady_timer timer(*this->context, aTime);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }

  void SetFaults(const std::string& aBody)
  {
    this->model.faults =
      ParseJsonObject(aBody).value_or(nlohmann::json::object());
    if (this->model.FaultValue("dead") != 0) {
      this->model.Crash(Clock::now());
    }
  }

  HttpAnswer Answer(const HttpRequest& aRequest)
  {
    const Instant now = Clock::now();
    this->model.Advance(now);
    if (aRequest.target == "/leases") {
      const nlohmann::json body =
        ParseJsonObject(aRequest.body).value_or(nlohmann::json::object());
      HttpAnswer answer;
      answer.body = EncodeTaskList(
        this->model.Renew(Milliseconds(IntegerField(body, "lease_ms")),
                          IntegerField(body, "version"),
                          now));
      return answer;
    }
    if (aRequest.target == "/tasks") {
      Reason reason;
      const auto task = DecodeTask(aRequest.body, reason);
      return Result(task && this->model.Start(*task, now));
    }
    return this->AnswerTask(aRequest.target, now);
  }

  HttpAnswer AnswerTask(const std::string& aTarget, Instant aNow)
  {
    constexpr std::string_view kPrefix = "/tasks/";
    const std::size_t slash = aTarget.rfind('/');
    if (!aTarget.starts_with(kPrefix) || slash < kPrefix.size()) {
      return Result(false, kNotFound);
    }
    const TaskName name(aTarget.substr(kPrefix.size(), slash - kPrefix.size()));
    const std::string command = aTarget.substr(slash + 1);
    if (command == "release") {
      return Result(this->model.Release(name, aNow));
    }
    if (command == "stop") {
      return Result(this->model.Stop(name, aNow));
    }
    if (command == "checkpoint") {
      const auto saved = this->model.Checkpoint(name, aNow);
      HttpAnswer answer = Result(saved.has_value());
      if (saved) {
        answer.body = nlohmann::json{ { "saved_ms", saved->count() } }.dump();
      }
      return answer;
    }
    return Result(false, kNotFound);
  }

  static HttpAnswer Result(bool aIsDone, int aStatus = kRefused)
  {
    HttpAnswer answer;
    answer.status = aIsDone ? 200 : aStatus;
    answer.body = aIsDone ? "{}" : R"({"error":"refused by the worker"})";
    return answer;
  }

  boost::asio::io_context* context;
  WorkerModel model;
  TaskHistory* history;
};

using Handlers = std::vector<std::unique_ptr<WorkerHandler>>;

void
Tick(boost::asio::steady_timer& aTimer, Handlers& aHandlers)
{
  aTimer.expires_after(kTick);
  aTimer.async_wait([&aTimer, &aHandlers](const auto&) {
    for (const auto& handler : aHandlers) {
      handler->Model().Advance(Clock::now());
    }
    Tick(aTimer, aHandlers);
  });
}

int
Run(const Endpoint& aFirst, int aWorkers)
{
  boost::asio::io_context context(1);
  TaskHistory history = TaskHistory::array();
  Handlers handlers;
  std::vector<std::unique_ptr<HttpServer<WorkerHandler>>> servers;
  Reason reason;
  for (int index = 0; index < aWorkers; ++index) {
    const std::string address =
      aFirst.Ip() + ":" + std::to_string(aFirst.Port() + index);
    handlers.push_back(
      std::make_unique<WorkerHandler>(context, address, history));
    servers.push_back(
      std::make_unique<HttpServer<WorkerHandler>>(context, *handlers.back()));
    const auto endpoint = Endpoint::Parse(address, reason);
    if (!endpoint || !servers.back()->Listen(*endpoint, reason)) {
      std::cerr << reason.Message() << '\n';
      return 1;
    }
  }
  boost::asio::steady_timer timer(context);
  Tick(timer, handlers);
  context.run();
  return 0;
}

}

}

int
main(int aCount, char** aArguments)
{
  using namespace sardinecourse;
  Reason reason;
  const auto first = Endpoint::Parse(aCount > 1 ? aArguments[1] : "", reason);
  if (!first || aCount < 3) {
    std::cerr << "usage: worker_stand_in IP:FIRST_PORT WORKERS\n";
    return 1;
  }
  return Run(*first, std::atoi(aArguments[2]));
}
