#include "links/http_worker_link.h"

#include "codecs/worker_json.h"
#include "core/reason.h"
#include "links/http_request.h"
#include "machines/task.h"
#include "machines/worker.h"

#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;

namespace {

constexpr int kOk = 200;
constexpr std::size_t kMaxIdleConnections = 4;

HttpRequest
Post(std::string aTarget, std::string aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.target = std::move(aTarget);
  request.body = std::move(aBody);
  return request;
}

std::string
TaskTarget(const TaskName& aName, const char* aCommand)
{
  return "/tasks/" + aName.Text() + "/" + aCommand;
}

}

HttpWorkerLink::HttpWorkerLink(asio::io_context& aContext,
                               Milliseconds aCommandTimeout)
  : context(&aContext)
  , commandTimeout(aCommandTimeout)
{
}

asio::awaitable<std::optional<TaskList>>
HttpWorkerLink::Renew(const Worker& aWorker,
                      Milliseconds aLease,
                      std::int64_t aVersion,
                      Reason& aReason)
{
  HttpRequest request =
    Post("/leases", EncodeTaskLeaseRenewal(aLease, aVersion));
  const Endpoint& address = aWorker.Address();
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  const std::optional<HttpAnswer> answer = co_await this->Call(
    address, std::move(request), this->commandTimeout, progress, aReason);
  if (!answer) {
    co_return std::nullopt;
  }
  co_return DecodeTaskList(answer->body, aReason);
}

asio::awaitable<CommandOutcome>
HttpWorkerLink::Start(const Worker& aWorker, const Task& aTask, Reason& aReason)
{
  HttpRequest request = Post("/tasks", EncodeTask(aTask));
  const Endpoint& address = aWorker.Address();
  const CommandOutcome outcome =
    co_await this->Command(address, std::move(request), aReason);
  co_return outcome;
}

asio::awaitable<CommandOutcome>
HttpWorkerLink::Release(const Worker& aWorker,
                        const TaskName& aName,
                        Reason& aReason)
{
  HttpRequest request = Post(TaskTarget(aName, "release"), "");
  const Endpoint& address = aWorker.Address();
  const CommandOutcome outcome =
    co_await this->Command(address, std::move(request), aReason);
  co_return outcome;
}

asio::awaitable<CommandOutcome>
HttpWorkerLink::Stop(const Worker& aWorker,
                     const TaskName& aName,
                     Reason& aReason)
{
  HttpRequest request = Post(TaskTarget(aName, "stop"), "");
  const Endpoint& address = aWorker.Address();
  const CommandOutcome outcome =
    co_await this->Command(address, std::move(request), aReason);
  co_return outcome;
}

asio::awaitable<std::optional<Milliseconds>>
HttpWorkerLink::Checkpoint(const Worker& aWorker,
                           const TaskName& aName,
                           Milliseconds aGrace,
                           Reason& aReason)
{
  HttpRequest request = Post(TaskTarget(aName, "checkpoint"), "");
  const Endpoint& address = aWorker.Address();
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  const std::optional<HttpAnswer> answer =
    co_await this->Call(address, std::move(request), aGrace, progress, aReason);
  if (!answer) {
    co_return std::nullopt;
  }
  co_return DecodeSavedProgress(answer->body, aReason);
}

asio::awaitable<CommandOutcome>
HttpWorkerLink::Command(Endpoint aWorker, HttpRequest aRequest, Reason& aReason)
{
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  const std::optional<HttpAnswer> answer = co_await this->Call(
    aWorker, std::move(aRequest), this->commandTimeout, progress, aReason);
  if (answer && answer->status == kOk) {
    co_return CommandOutcome::kDone;
  }
  if (answer) {
    aReason = Reason(Step::kWorkerCommand, aWorker.Text(), answer->body);
    co_return CommandOutcome::kRefused;
  }
  co_return progress == ExchangeProgress::kNotSent ? CommandOutcome::kRefused
                                                   : CommandOutcome::kNotKnown;
}

asio::awaitable<std::optional<HttpAnswer>>
HttpWorkerLink::Call(Endpoint aWorker,
                     HttpRequest aRequest,
                     Milliseconds aTimeout,
                     ExchangeProgress& aProgress,
                     Reason& aReason)
{
  const Instant deadline = Clock::now() + aTimeout;
  std::vector<HttpConnection>& pooled = this->idle[aWorker];
  std::optional<HttpConnection> connection;
  if (!pooled.empty()) {
    connection.emplace(std::move(pooled.back()));
    pooled.pop_back();
  } else {
    connection.emplace(*this->context, aWorker);
    const bool isOpen = co_await connection->Connect(aTimeout, aReason);
    if (!isOpen) {
      co_return std::nullopt;
    }
  }
  const auto timeLeft =
    std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
  std::optional<HttpAnswer> answer =
    co_await connection->Exchange(aRequest, timeLeft, aProgress, aReason);
  std::vector<HttpConnection>& pool = this->idle[aWorker];
  if (!answer) {
    // The cause has probably affected the other connections to this worker.
    pool.clear();
  } else if (connection->Reusable() && pool.size() < kMaxIdleConnections) {
    pool.push_back(std::move(*connection));
  }
  co_return answer;
}

}
