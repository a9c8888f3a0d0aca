#pragma once

#include "core/endpoint.h"
#include "core/instant.h"
#include "core/reason.h"
#include "core/stop_budget.h"
#include "links/caller_refusal_answer.h"
#include "links/connection_counts.h"
#include "links/http_message.h"
#include "links/http_sessions.h"
#include "links/request_receiver.h"
#include "machines/caller_load.h"
#include "zones/callers/caller_admission.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <concepts>
#include <memory>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace sardinecourse {

/** Answers HTTP requests; Handle() is called in the server's thread. */
template<typename Handler>
concept HttpHandler = requires(Handler& aHandler, HttpRequest aRequest)
{
  {
    aHandler.Handle(std::move(aRequest))
    } -> std::same_as<boost::asio::awaitable<HttpAnswer>>;
};

/**
 * Serves HTTP on one endpoint in one thread's io_context. Several servers, each
 * in its own thread, may listen on the same endpoint; the kernel distributes
 * connections among them. What callers hold is bounded by the limits of a load
 * that is common to the servers of the process, and by this server's share.
 */
template<HttpHandler Handler>
class HttpServer
{
public:
  /** For callers that are trusted to keep within the protocol. */
  HttpServer(boost::asio::io_context& aContext, Handler& aHandler)
    : HttpServer(aContext,
                 aHandler,
                 std::make_unique<CallerLoad>(CallerLimits::ForTrusted()))
  {
  }

  /** aShare are the connections that this server may have open, and the memory
   * that it may use whatever the other servers of aLoad use. */
  HttpServer(boost::asio::io_context& aContext,
             Handler& aHandler,
             CallerLoad& aLoad,
             const CallerLimits& aShare)
    : context(&aContext)
    , handler(&aHandler)
    , sessions(aLoad, aShare)
    , receiver(this->sessions)
    , acceptor(aContext)
    , acceptTimer(aContext)
    , shareTimer(aContext)
    , drainTimer(aContext)
  {
  }

  /** Starts to accept connections. False, with the reason, if the endpoint
   * cannot be bound. */
  bool Listen(const Endpoint& aEndpoint, Reason& aReason)
  {
    using boost::asio::ip::tcp;
    using ReusePort =
      boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    boost::system::error_code error;
    const tcp::endpoint endpoint(boost::asio::ip::make_address(aEndpoint.Ip()),
                                 aEndpoint.Port());
    this->acceptor.open(endpoint.protocol(), error);
    if (!error) {
      this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
      this->acceptor.set_option(ReusePort(true), error);
      this->acceptor.bind(endpoint, error);
    }
    if (!error) {
      this->acceptor.listen(kBacklog, error);
    }
    if (error) {
      aReason = Reason(
        Step::kStartup, aEndpoint.Text(), "cannot listen: " + error.message());
      return false;
    }
    boost::asio::co_spawn(
      *this->context, this->Accept(), boost::asio::detached);
    return true;
  }

  /** From now on closes each connection after its answer, so that a load
   * balancer moves the callers to other hosts; new connections are still
   * accepted. */
  void CloseAfterAnswers() { this->closing = true; }

  /** Stops accepting connections and returns once none is open. Idle ones are
   * closed at once, the others after their answer. A request that has begun to
   * arrive is read until aBudget.ReadEnd(). A request that has no answer by
   * aBudget.AnswerEnd() is answered with 504, and a connection whose answer is
   * not written by then is closed. */
  boost::asio::awaitable<void> Drain(StopBudget aBudget)
  {
    boost::system::error_code ignored;
    this->closing = true;
    this->draining = true;
    this->AcceptPending();
    this->acceptor.close(ignored);
    // A connection whose accept has completed is opened first.
    co_await boost::asio::post(*this->context, boost::asio::use_awaitable);
    const Instant start = Clock::now();
    this->CloseIdle(start - kFirstByteTime);
    co_await this->SleepUntil(start + kFirstByteTime);
    this->CloseIdle(Clock::now());
    co_await this->SleepUntil(aBudget.ReadEnd());
    this->EndReading();
    co_await this->SleepUntil(aBudget.AnswerEnd());
    this->EndAnswering();
  }

  ConnectionCounts OpenConnections() const
  {
    ConnectionCounts counts;
    for (const Session& session : this->sessions) {
      if (session.state != State::kReading) {
        ++counts.answering;
      } else if (session.HasPartialRequest()) {
        ++counts.reading;
      } else {
        ++counts.idle;
      }
    }
    return counts;
  }

private:
  HttpServer(boost::asio::io_context& aContext,
             Handler& aHandler,
             std::unique_ptr<CallerLoad> aLoad)
    : HttpServer(aContext, aHandler, *aLoad, aLoad->Limits())
  {
    this->ownLoad = std::move(aLoad);
  }

  using Session = HttpSession;
  using State = HttpSession::State;

  static constexpr int kBacklog = 4096;
  static constexpr int kGatewayTimeout = 504;
  static constexpr std::size_t kLingerBlockBytes = 4096;
  static constexpr int kFirstErrorStatus = 300;
  /** Pause after a failed accept. The cause, such as a lack of descriptors,
   * lasts; without a pause the loop would spin. */
  static constexpr Milliseconds kAcceptPause{ 100 };
  /** Interval of checks whether another server needs the memory that this one
   * uses beyond its share. */
  static constexpr Milliseconds kShareInterval{ 200 };
  /** Time in which the first byte of a request must arrive on a connection that
   * is new when the drain starts. */
  static constexpr Milliseconds kFirstByteTime{ 100 };
  /** Time for the caller to read the last answer. A close with unread bytes
   * would reset the connection and might destroy the answer. Shorter than the
   * time after which a request that is still sent would count as lost. */
  static constexpr Milliseconds kLingerTime{ 150 };

  /** Accepts the connections that are queued in the kernel; closing the
   * listening socket would reset them. */
  void AcceptPending()
  {
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error && this->sessions.IsWithinLimit()) {
      boost::asio::ip::tcp::socket socket(*this->context);
      this->acceptor.accept(socket, error);
      if (!error) {
        this->Open(std::move(socket));
      }
    }
  }

  boost::asio::awaitable<void> Accept()
  {
    boost::system::error_code error;
    while (!this->draining) {
      boost::asio::ip::tcp::socket socket =
        co_await this->acceptor.async_accept(
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error == boost::asio::error::operation_aborted) {
        co_return;
      }
      if (error) {
        this->sessions.Count(CallerRefusal::kDescriptors);
        this->sessions.ShedForConnection(this->sessions.Size());
        co_await this->PauseAccept();
        continue;
      }
      this->Open(std::move(socket));
      if (!this->sessions.IsWithinLimit()) {
        // The new connection itself is not closed.
        this->sessions.ShedForConnection(this->sessions.Size() - 1);
      }
      while (!this->draining && !this->sessions.IsWithinLimit()) {
        // Every connection waits for an answer. New ones wait in the system's
        // queue meanwhile.
        co_await this->PauseAccept();
        this->sessions.ShedForConnection(this->sessions.Size());
      }
    }
  }

  /** Waits for kAcceptPause, or until a connection has been closed. */
  boost::asio::awaitable<void> PauseAccept()
  {
    boost::system::error_code ignored;
    this->acceptTimer.expires_after(kAcceptPause);
    co_await this->acceptTimer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  /** The session is known from now on, before its coroutine first runs, so that
   * a drain applies to it. */
  void Open(boost::asio::ip::tcp::socket aSocket)
  {
    boost::system::error_code ignored;
    aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const auto position = this->sessions.Open(std::move(aSocket));
    boost::asio::co_spawn(
      *this->context, this->Serve(position), boost::asio::detached);
  }

  boost::asio::awaitable<void> Serve(HttpSessions::Iterator aPosition)
  {
    Session& session = *aPosition;
    while (co_await this->ServeRequest(session)) {
    }
    if (session.state == State::kLingering) {
      co_await this->Linger(session);
    }
    this->sessions.Close(aPosition);
    this->acceptTimer.cancel();
    if (this->draining && this->sessions.Empty()) {
      this->drainTimer.cancel();
    }
  }

  /** While this server's connections use more than their share, returns it
   * when other servers of the process need it. */
  boost::asio::awaitable<void> WatchShare()
  {
    boost::system::error_code ignored;
    while (this->sessions.IsAboveShare()) {
      this->sessions.ReturnShare();
      this->shareTimer.expires_after(kShareInterval);
      co_await this->shareTimer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    this->isWatching = false;
  }

  void StartWatch()
  {
    if (this->sessions.IsAboveShare() && !this->isWatching) {
      this->isWatching = true;
      boost::asio::co_spawn(
        *this->context, this->WatchShare(), boost::asio::detached);
    }
  }

  /** Returns early once no connection is open. */
  boost::asio::awaitable<void> SleepUntil(Instant aInstant)
  {
    boost::system::error_code ignored;
    while (!this->sessions.Empty() && Clock::now() < aInstant) {
      this->drainTimer.expires_after(aInstant - Clock::now());
      co_await this->drainTimer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
  }

  /** Closes the connections without a request that were opened before
   * aOpenedBefore. */
  void CloseIdle(Instant aOpenedBefore)
  {
    boost::system::error_code ignored;
    for (Session& session : this->sessions) {
      if (session.state == State::kReading &&
          session.openedAt < aOpenedBefore && !session.HasPartialRequest()) {
        session.stream.socket().shutdown(
          boost::asio::ip::tcp::socket::shutdown_receive, ignored);
      }
    }
  }

  /** A new expiry would apply to later operations only, and a cancelled one may
   * be followed by the next of the same message, so the stream is closed. */
  void EndReading()
  {
    this->isReadOver = true;
    for (Session& session : this->sessions) {
      if (session.state == State::kReading) {
        session.stream.close();
      }
    }
  }

  void EndAnswering()
  {
    this->isWriteOver = true;
    for (Session& session : this->sessions) {
      if (session.state == State::kHandling) {
        SendUnfinished(session);
      } else {
        session.stream.close();
      }
    }
  }

  /** Sends the answer to a request whose outcome is not known, if the socket
   * takes it without a wait. */
  static void SendUnfinished(Session& aSession)
  {
    HttpAnswer answer;
    answer.status = kGatewayTimeout;
    auto message = ToMessage(std::move(answer));
    message.keep_alive(false);
    boost::system::error_code ignored;
    auto& socket = aSession.stream.socket();
    socket.non_blocking(true, ignored);
    boost::beast::http::write(socket, message, ignored);
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }

  boost::asio::awaitable<void> Linger(Session& aSession)
  {
    boost::system::error_code error;
    aSession.stream.socket().shutdown(
      boost::asio::ip::tcp::socket::shutdown_send, error);
    aSession.stream.expires_after(kLingerTime);
    std::array<char, kLingerBlockBytes> block{};
    const auto buffer = boost::asio::buffer(block);
    while (!error) {
      co_await aSession.stream.async_read_some(
        buffer, boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }
  }

  /** Serves one request; false if the connection must then be closed. */
  boost::asio::awaitable<bool> ServeRequest(Session& aSession)
  {
    if (this->isReadOver) {
      // The step of the drain has come while the last answer was written.
      aSession.state = State::kLingering;
      co_return false;
    }
    RequestReceiver::Result received =
      co_await this->receiver.Receive(aSession);
    this->StartWatch();
    if (!received.request) {
      co_await this->Refuse(aSession, received.refusal);
      co_return false;
    }
    aSession.Enter(State::kHandling);
    aSession.stream.expires_never();
    HttpAnswer answer =
      co_await this->handler->Handle(std::move(*received.request));
    if (this->isWriteOver) {
      co_return false;
    }
    aSession.isServed = aSession.isServed || answer.status < kFirstErrorStatus;
    const bool isNextServed =
      co_await this->Answer(aSession, std::move(answer), received.isKeptOpen);
    co_return isNextServed;
  }

  /** Answers a request that was not read, or not wholly, if its cause has an
   * answer. */
  boost::asio::awaitable<void> Refuse(Session& aSession,
                                      std::optional<CallerRefusal> aCause)
  {
    std::optional<HttpAnswer> answer =
      aCause ? RefusalAnswer(*aCause) : std::nullopt;
    if (answer) {
      aSession.buffer = boost::beast::flat_buffer(aSession.buffer.max_size());
      co_await this->Answer(aSession, std::move(*answer), false);
    }
  }

  /** Writes an answer; true if another request may follow. */
  boost::asio::awaitable<bool> Answer(Session& aSession,
                                      HttpAnswer aAnswer,
                                      bool aIsKeptOpen)
  {
    boost::system::error_code error;
    auto message = ToMessage(std::move(aAnswer));
    const bool isKeptOpen = aIsKeptOpen && this->IsNextServed(aSession);
    message.keep_alive(isKeptOpen);
    aSession.Enter(State::kWriting);
    // An answer is delivered even if there is no room for it.
    const std::int64_t unused =
      HttpSessions::kConnectionBytes + aSession.BufferBytes();
    const std::int64_t bytes =
      unused + static_cast<std::int64_t>(message.body().capacity());
    this->sessions.Charge(aSession, unused);
    if (!this->sessions.TryCharge(aSession, bytes, HasRoomFor)) {
      this->sessions.Charge(aSession, bytes);
    }
    aSession.stream.expires_after(this->sessions.Limits().AnswerTime());
    co_await boost::beast::http::async_write(
      aSession.stream,
      message,
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    this->sessions.Charge(aSession, unused);
    if (error == boost::beast::error::timeout) {
      this->sessions.Count(CallerRefusal::kAnswerTooSlow);
    }
    if (error || isKeptOpen) {
      co_return !error;
    }
    aSession.state = State::kLingering;
    co_return false;
  }

  /** While connections are being closed, a request that the caller has sent
   * behind the answered one is still served. */
  bool IsNextServed(const Session& aSession) const
  {
    return !this->closing ||
           (!this->isReadOver && aSession.HasPartialRequest());
  }

  boost::asio::io_context* context;
  Handler* handler;
  std::unique_ptr<CallerLoad> ownLoad;
  HttpSessions sessions;
  RequestReceiver receiver;
  boost::asio::ip::tcp::acceptor acceptor;
  /** Ends a pause of the accept loop. */
  boost::asio::steady_timer acceptTimer;
  boost::asio::steady_timer shareTimer;
  boost::asio::steady_timer drainTimer;
  /** WatchShare() runs. */
  bool isWatching = false;
  bool closing = false;
  bool draining = false;
  /** The drain has come to StopBudget::ReadEnd(). */
  bool isReadOver = false;
  /** The drain has come to StopBudget::AnswerEnd(). */
  bool isWriteOver = false;
};

}
