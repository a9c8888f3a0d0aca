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
  std::string previousAnswer;
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
  , maxConnections(aConnections)
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
    if (this->openConnections >= this->maxConnections) {
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
  session.generation = this->minServedGeneration;
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
  // Simulates a network path that lost the connection's state: requests on it
  // never reach the minion.
  if (aSession.isSilent || aSession.generation < this->minServedGeneration) {
    co_return true;
  }
  const std::string identity(request["X-Request-Id"]);
  const std::string expectedName(request["Sardinecourse-Minion"]);
  const bool isProbe = request.target() == "/healthz";
  auto answer = MakeAnswer(http::status::ok, "");
  bool isTruncated = false;
  bool isDuplicated = false;
  bool isStale = false;
  bool isClosing = false;
  if (!expectedName.empty() && expectedName != this->name) {
    answer = MakeAnswer(http::status::misdirected_request, "another minion");
  } else if (this->faults.refuse) {
    answer = MakeAnswer(http::status::service_unavailable, "leaving");
    answer.set("Sardinecourse-Outcome", "not-run");
  } else if (!isProbe) {
    ++this->requestCount;
    const MinionFaults current = this->faults;
    const bool isLate = this->IsFaultDue(current.lateEvery);
    const bool isDropped = this->IsFaultDue(current.dropEvery);
    aSession.isSilent = this->IsFaultDue(current.silentEvery);
    const bool isFailed = this->IsFaultDue(current.failEvery);
    isTruncated = this->IsFaultDue(current.truncateEvery);
    isDuplicated = this->IsFaultDue(current.duplicateEvery);
    isStale = this->IsFaultDue(current.staleEvery);
    isClosing = this->IsFaultDue(current.closeEvery);
    co_await this->Execute(identity, request.body());
    if (isLate) {
      co_await this->Pause(current.lateMs * 1000);
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
  const std::string currentAnswer = wire;
  if (isTruncated) {
    wire.resize(wire.size() / 2);
  }
  if (isDuplicated) {
    wire += currentAnswer;
  }
  if (isStale) {
    wire.insert(0, aSession.previousAnswer);
  }
  aSession.previousAnswer = currentAnswer;
  co_await asio::async_write(aSession.socket,
                             asio::buffer(wire),
                             asio::redirect_error(asio::use_awaitable, error));
  co_return !error && !isTruncated && !isClosing && request.keep_alive();
}

asio::awaitable<void>
SimulatedMinion::Execute(std::string aIdentity, std::string aBody)
{
  co_await this->AcquireSlot();
  const std::int64_t start = SystemMicroseconds();
  const std::size_t index = this->executions.size();
  if (this->isRecording) {
    // Recorded at the start, so that a run whose answer is lost also counts.
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
SimulatedMinion::AcquireSlot()
{
  if (this->freeSlots > 0) {
    --this->freeSlots;
    co_return;
  }
  boost::system::error_code ignored;
  asio::steady_timer slotFreed(*this->context);
  slotFreed.expires_at(asio::steady_timer::time_point::max());
  this->slotQueue.push_back(&slotFreed);
  this->maxSlotQueue = std::max<std::int64_t>(
    this->maxSlotQueue, static_cast<std::int64_t>(this->slotQueue.size()));
  co_await slotFreed.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
}

void
SimulatedMinion::ReleaseSlot()
{
  if (this->slotQueue.empty()) {
    ++this->freeSlots;
    return;
  }
  // The slot passes to the request that has waited longest.
  this->slotQueue.front()->cancel();
  this->slotQueue.pop_front();
}

bool
SimulatedMinion::IsFaultDue(std::int64_t aEvery) const
{
  return aEvery > 0 && this->requestCount % aEvery == 0;
}

}
