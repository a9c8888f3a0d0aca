#pragma once

#include "core/endpoint.h"
#include "core/reason.h"
#include "links/connection_counts.h"
#include "links/http_message.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <concepts>
#include <list>
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
 * connections among them.
 */
template<HttpHandler Handler>
class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aContext, Handler& aHandler)
    : context(&aContext)
    , handler(&aHandler)
    , acceptor(aContext)
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

  /** Stops accepting connections; closes each open one after its current
   * answer, and idle ones at once. A request that has begun to arrive is still
   * read, within kDrainTimeout, and answered. */
  void Drain()
  {
    boost::system::error_code ignored;
    this->closing = true;
    this->draining = true;
    this->AcceptPending();
    this->acceptor.close(ignored);
    for (Session* session : this->sessions) {
      if (session->busy) {
        continue;
      }
      session->stream.expires_after(kDrainTimeout);
      if (!session->HasPartialRequest()) {
        session->stream.socket().shutdown(
          boost::asio::ip::tcp::socket::shutdown_receive, ignored);
      }
    }
  }

  ConnectionCounts OpenConnections() const
  {
    ConnectionCounts counts;
    for (Session* session : this->sessions) {
      if (session->busy) {
        ++counts.answering;
      } else if (session->HasPartialRequest()) {
        ++counts.reading;
      } else {
        ++counts.idle;
      }
    }
    return counts;
  }

private:
  struct Session
  {
    explicit Session(boost::asio::ip::tcp::socket aSocket)
      : stream(std::move(aSocket))
    {
    }
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    /** True if any byte of the next request has arrived. */
    bool HasPartialRequest()
    {
      boost::system::error_code ignored;
      return this->buffer.size() > 0 ||
             (this->parser != nullptr && this->parser->got_some()) ||
             this->stream.socket().available(ignored) > 0;
    }
    boost::beast::http::request_parser<boost::beast::http::string_body>*
      parser = nullptr;
    bool busy = false;
  };

  static constexpr int kBacklog = 4096;
  static constexpr std::uint64_t kBodyLimitBytes = 64ULL << 20U;
  static constexpr std::uint32_t kHeaderLimitBytes = 64U << 10U;
  static constexpr std::chrono::seconds kIdleTimeout{ 75 };
  static constexpr std::chrono::seconds kDrainTimeout{ 5 };

  /** Accepts the connections that are queued in the kernel; closing the
   * listening socket would reset them. */
  void AcceptPending()
  {
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
      boost::asio::ip::tcp::socket socket(*this->context);
      this->acceptor.accept(socket, error);
      if (!error) {
        boost::asio::co_spawn(*this->context,
                              this->Serve(std::move(socket)),
                              boost::asio::detached);
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
      if (!error) {
        boost::asio::co_spawn(*this->context,
                              this->Serve(std::move(socket)),
                              boost::asio::detached);
      }
    }
  }

  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket)
  {
    boost::system::error_code ignored;
    aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    Session session(std::move(aSocket));
    const auto position = this->sessions.insert(this->sessions.end(), &session);
    while (co_await this->ServeRequest(session)) {
    }
    this->sessions.erase(position);
  }

  /** Serves one request; false if the connection must then be closed. */
  boost::asio::awaitable<bool> ServeRequest(Session& aSession)
  {
    namespace http = boost::beast::http;
    boost::system::error_code error;
    http::request_parser<http::string_body> parser;
    parser.body_limit(kBodyLimitBytes);
    parser.header_limit(kHeaderLimitBytes);
    aSession.busy = false;
    aSession.parser = &parser;
    aSession.stream.expires_after(this->draining ? kDrainTimeout
                                                 : kIdleTimeout);
    co_await http::async_read(
      aSession.stream,
      aSession.buffer,
      parser,
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    aSession.parser = nullptr;
    if (error) {
      co_return false;
    }
    aSession.busy = true;
    aSession.stream.expires_never();
    const bool keepAlive = parser.get().keep_alive();
    HttpRequest request = FromMessage(parser.release());
    HttpAnswer answer = co_await this->handler->Handle(std::move(request));
    auto message = ToMessage(std::move(answer));
    const bool isKeptOpen = keepAlive && !this->closing;
    message.keep_alive(isKeptOpen);
    aSession.stream.expires_after(kIdleTimeout);
    co_await http::async_write(
      aSession.stream,
      message,
      boost::asio::redirect_error(boost::asio::use_awaitable, error));
    co_return !error && isKeptOpen;
  }

  boost::asio::io_context* context;
  Handler* handler;
  boost::asio::ip::tcp::acceptor acceptor;
  std::list<Session*> sessions;
  bool closing = false;
  bool draining = false;
};

}
