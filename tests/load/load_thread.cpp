#include "tests/load/load_thread.h"

#include "core/reason.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds kConnectTimeout{ 2000 };
/** Waits this long for an answer beyond the request's deadline. */
constexpr Milliseconds kDeadlineGrace{ 2000 };

std::string
OutcomeOf(const std::optional<HttpAnswer>& aAnswer)
{
  if (!aAnswer) {
    return "no-answer";
  }
  // A minion that is called directly sends no outcome field.
  const std::string outcome(aAnswer->fields.Find("Sardinecourse-Outcome"));
  return outcome.empty() && aAnswer->status == 200 ? "done" : outcome;
}

}

LoadThread::LoadThread(const LoadOptions& aOptions, std::uint64_t aNumber)
  : options(aOptions)
  , number(aNumber)
  , context(1)
  , arrivalTimer(this->context)
  , random(aOptions.seed + aNumber)
{
}

void
LoadThread::Run()
{
  const std::chrono::duration<double> length(this->options.seconds);
  this->end =
    Clock::now() + std::chrono::duration_cast<Clock::duration>(length);
  if (this->options.rate > 0) {
    asio::co_spawn(this->context, this->SendAtRate(), asio::detached);
  } else {
    for (int count = 0; count < this->options.connections; ++count) {
      asio::co_spawn(this->context, this->SendBackToBack(), asio::detached);
    }
  }
  this->context.run();
}

asio::awaitable<void>
LoadThread::SendAtRate()
{
  boost::system::error_code ignored;
  std::exponential_distribution<double> interArrival(this->options.rate /
                                                     this->options.threads);
  Instant due = Clock::now();
  while (due < this->end) {
    const std::chrono::duration<double> interval(interArrival(this->random));
    due += std::chrono::duration_cast<Clock::duration>(interval);
    // Open loop: a request is due whether or not earlier ones were answered.
    if (due > Clock::now()) {
      this->arrivalTimer.expires_after(due - Clock::now());
      co_await this->arrivalTimer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    }
    asio::co_spawn(this->context, this->SendOne(due), asio::detached);
  }
}

asio::awaitable<void>
LoadThread::SendBackToBack()
{
  while (Clock::now() < this->end) {
    co_await this->SendOne(Clock::now());
  }
}

asio::awaitable<void>
LoadThread::SendOne(Instant aDue)
{
  ConnectionPtr connection;
  if (this->idleConnections.empty()) {
    connection = co_await this->Open();
  } else {
    connection = std::move(this->idleConnections.back());
    this->idleConnections.pop_back();
  }
  std::optional<HttpAnswer> answer;
  if (connection) {
    ExchangeProgress progress = ExchangeProgress::kNotSent;
    Reason reason;
    const HttpRequest request = this->MakeRequest();
    const Milliseconds timeout =
      Milliseconds(this->options.deadlineMs) + kDeadlineGrace;
    answer = co_await connection->Exchange(request, timeout, progress, reason);
  }
  const std::chrono::duration<double> elapsed = Clock::now() - aDue;
  this->report.Add(OutcomeOf(answer), elapsed.count());
  if (connection && connection->Reusable()) {
    this->idleConnections.push_back(std::move(connection));
  }
}

asio::awaitable<LoadThread::ConnectionPtr>
LoadThread::Open()
{
  const std::size_t target = this->nextTarget++ % this->options.targets.size();
  auto connection = std::make_unique<HttpConnection>(
    this->context, this->options.targets[target]);
  Reason reason;
  const bool isOpen = co_await connection->Connect(kConnectTimeout, reason);
  if (!isOpen) {
    co_return nullptr;
  }
  co_return connection;
}

HttpRequest
LoadThread::MakeRequest()
{
  HttpRequest request;
  request.method = this->options.method;
  request.target = this->options.path;
  request.fields.Add("Sardinecourse-Team", "load");
  request.fields.Add("Sardinecourse-Deadline-Ms",
                     std::to_string(this->options.deadlineMs));
  if (this->options.keyed) {
    request.fields.Add("Idempotency-Key",
                       std::to_string(this->options.seed) + "-" +
                         std::to_string(this->number) + "-" +
                         std::to_string(this->nextKey++));
  }
  if (this->options.method != "GET") {
    request.body.assign(this->options.bodyBytes, 'x');
  }
  return request;
}

}
