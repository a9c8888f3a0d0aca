#include "tests/stand_ins/simulated_minion.h"

#include "core/reason.h"
#include "links/http_message.h"
#include "links/minion_protocol.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr int kBacklog = 1024;

std::int64_t
SystemMicroseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

std::string
ToWire(http::response<http::string_body>& aMessage)
{
  std::ostringstream wire;
  wire << aMessage;
  return wire.str();
}

http::response<http::string_body>
MakeAnswer(http::status aStatus, std::string aBody)
{
  http::response<http::string_body> answer(aStatus, 11);
  answer.body() = std::move(aBody);
  answer.prepare_payload();
  return answer;
}

}

struct SimulatedMinion::Session
{
  explicit Session(tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::string previous;
  std::int64_t generation = 0;
  bool isSilent = false;
};

SimulatedMinion::SimulatedMinion(asio::io_context& aContext,
                                 std::string aName,
                                 std::int32_t aSlots,
                                 std::int32_t aConnections)
  : context(&aContext)
  , acceptor(aContext)
  , name(std::move(aName))
  , freeSlots(aSlots)
  , connectionLimit(aConnections)
{
}

bool
SimulatedMinion::Listen(const Endpoint& aEndpoint, Reason& aReason)
{
  boost::system::error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(aEndpoint.Ip()),
                               aEndpoint.Port());
  this->acceptor.open(endpoint.protocol(), error);
  this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  this->acceptor.bind(endpoint, error);
  if (!error) {
    this->acceptor.listen(kBacklog, error);
  }
  if (error) {
    aReason = Reason(Step::kStartup, aEndpoint.Text(), error.message());
    return false;
  }
  asio::co_spawn(*this->context, this->Accept(), asio::detached);
  return true;
}

asio::awaitable<void>
SimulatedMinion::Accept()
{
  boost::system::error_code error;
  while (error != asio::error::operation_aborted) {
    tcp::socket socket = co_await this->acceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      continue;
    }
    if (this->openConnections >= this->connectionLimit) {
      ++this->refusedConnections;
      continue;
    }
    asio::co_spawn(
      *this->context, this->Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void>
SimulatedMinion::Serve(tcp::socket aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  Session session(std::move(aSocket));
  session.generation = this->silentBefore;
  ++this->openConnections;
  bool isOpen = true;
  while (isOpen) {
    isOpen = co_await this->ServeOne(session);
  }
  --this->openConnections;
}

asio::awaitable<bool>
SimulatedMinion::ServeOne(Session& aSession)
{
  boost::system::error_code error;
  http::request<http::string_body> request;
  co_await http::async_read(aSession.socket,
                            aSession.buffer,
                            request,
                            asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return false;
  }
  // What arrives on a connection that something on the way has lost never
  // reaches the minion.
  if (aSession.isSilent || aSession.generation < this->silentBefore) {
    co_return true;
  }
  const std::string identity(request["X-Request-Id"]);
  const std::string addressed(request["Sardinecourse-Minion"]);
  const bool isProbe = request.target() == "/healthz";
  auto answer = MakeAnswer(http::status::ok, "");
  bool isTruncated = false;
  bool isDuplicated = false;
  bool isStale = false;
  bool isClosing = false;
  if (!addressed.empty() && addressed != this->name) {
    answer = MakeAnswer(http::status::misdirected_request, "another minion");
  } else if (this->faults.refuse) {
    answer = MakeAnswer(http::status::service_unavailable, "leaving");
    answer.set("Sardinecourse-Outcome", "not-run");
  } else if (!isProbe) {
    ++this->count;
    const MinionFaults now = this->faults;
    const bool isLate = this->Hits(now.lateEvery);
    const bool isDropped = this->Hits(now.dropEvery);
    aSession.isSilent = this->Hits(now.silentEvery);
    const bool isFailed = this->Hits(now.failEvery);
    isTruncated = this->Hits(now.truncateEvery);
    isDuplicated = this->Hits(now.duplicateEvery);
    isStale = this->Hits(now.staleEvery);
    isClosing = this->Hits(now.closeEvery);
    co_await this->Execute(identity, request.body());
    if (isLate) {
      co_await this->Pause(now.lateMs * 1000);
    }
    if (isDropped) {
      co_return false;
    }
    if (aSession.isSilent) {
      co_return true;
    }
    answer = MakeAnswer(
      isFailed ? http::status::internal_server_error : http::status::ok,
      "ran " + std::string(request.target()) + " " + request.body());
  }
  if (!this->faults.mute && !identity.empty()) {
    answer.set("X-Request-Id", identity);
  }
  answer.set("Sardinecourse-Minion", this->name);
  if (this->faults.leaving || this->faults.refuse) {
    answer.set("Sardinecourse-Leaving", "true");
  }
  std::string wire = ToWire(answer);
  const std::string own = wire;
  if (isTruncated) {
    wire.resize(wire.size() / 2);
  }
  if (isDuplicated) {
    wire += own;
  }
  if (isStale) {
    wire.insert(0, aSession.previous);
  }
  aSession.previous = own;
  co_await asio::async_write(aSession.socket,
                             asio::buffer(wire),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error && !isTruncated && !isClosing && request.keep_alive();
}

asio::awaitable<void>
SimulatedMinion::Execute(std::string aIdentity, std::string aBody)
{
  co_await this->TakeSlot();
  const std::int64_t start = SystemMicroseconds();
  const std::size_t index = this->executions.size();
  if (this->isRecording) {
    // Recorded at the start, so that a run that nobody hears of counts.
    this->executions.push_back(
      { std::move(aIdentity), std::move(aBody), start, 0 });
  }
  co_await this->Pause(this->faults.serviceUs);
  if (this->isRecording && index < this->executions.size()) {
    this->executions[index].endUs = SystemMicroseconds();
  }
  this->ReleaseSlot();
}

asio::awaitable<void>
SimulatedMinion::Pause(std::int64_t aMicroseconds)
{
  if (aMicroseconds <= 0) {
    co_return;
  }
  boost::system::error_code ignored;
  asio::steady_timer timer(*this->context);
  timer.expires_after(std::chrono::microseconds(aMicroseconds));
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void>
SimulatedMinion::TakeSlot()
{
  if (this->freeSlots > 0) {
    --this->freeSlots;
    co_return;
  }
  boost::system::error_code ignored;
  asio::steady_timer turn(*this->context);
  turn.expires_at(asio::steady_timer::time_point::max());
  this->waiting.push_back(&turn);
  this->maxWaiting = std::max<std::int64_t>(
    this->maxWaiting, static_cast<std::int64_t>(this->waiting.size()));
  co_await turn.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void
SimulatedMinion::ReleaseSlot()
{
  if (this->waiting.empty()) {
    ++this->freeSlots;
    return;
  }
  // The slot passes to the one that waits longest.
  this->waiting.front()->cancel();
  this->waiting.pop_front();
}

bool
SimulatedMinion::Hits(std::int64_t aEvery) const
{
  return aEvery > 0 && this->count % aEvery == 0;
}

}
