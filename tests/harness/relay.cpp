#include "tests/harness/relay.h"

#include "tests/harness/relay_thread.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <utility>

namespace sardinecourse::harness {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t kBufferBytes = 16384;

tcp::endpoint
ToTcp(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.Ip()), aEndpoint.Port() };
}

/** Closes with a TCP reset, as after a broken link or the death of a host. */
void
Reset(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

/** Both sockets of one relayed connection. */
struct RelayedConnection
{
  explicit RelayedConnection(asio::io_context& aContext)
    : client(aContext)
    , server(aContext)
  {
  }
  tcp::socket client;
  tcp::socket server;
  bool isBlackholed = false;
};

}

struct Relay::State
{
  State(const Endpoint& aListen, std::shared_ptr<RelayThread> aThread)
    : thread(std::move(aThread))
    , context(thread->Context())
    , listen(ToTcp(aListen))
    , acceptor(context, listen, true)
  {
  }

  bool IsBlackholed(const RelayedConnection& aConnection) const
  {
    return aConnection.isBlackholed || this->mode == RelayMode::kBlackhole;
  }

  asio::awaitable<void> Forward(std::shared_ptr<RelayedConnection> aConnection,
                                bool aIsFromClient);
  asio::awaitable<void> ConnectToTarget(
    std::shared_ptr<RelayedConnection> aConnection);
  asio::awaitable<void> Accept();
  void Apply(RelayMode aMode);

  /** Outlives the sockets, which use its context. */
  std::shared_ptr<RelayThread> thread;
  asio::io_context& context;
  tcp::endpoint listen;
  tcp::acceptor acceptor;
  tcp::endpoint target;
  std::set<std::shared_ptr<RelayedConnection>> connections;
  RelayMode mode = RelayMode::kForward;
  Milliseconds delay{ 0 };
  std::atomic<std::uint64_t> forwarded = 0;
};

asio::awaitable<void>
Relay::State::Forward(std::shared_ptr<RelayedConnection> aConnection,
                      bool aIsFromClient)
{
  tcp::socket& from = aIsFromClient ? aConnection->client : aConnection->server;
  tcp::socket& to = aIsFromClient ? aConnection->server : aConnection->client;
  boost::system::error_code error;
  std::array<char, kBufferBytes> buffer{};
  asio::steady_timer timer(this->context);
  while (!error) {
    const std::size_t size = co_await from.async_read_some(
      asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (this->delay.count() > 0) {
      timer.expires_after(this->delay);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (this->IsBlackholed(*aConnection)) {
      // A black hole also hides that the other end closed the connection.
      continue;
    }
    const auto data = asio::buffer(buffer, size);
    if (!error) {
      co_await asio::async_write(
        to, data, asio::redirect_error(asio::use_awaitable, error));
      this->forwarded += size;
    }
  }
  if (!this->IsBlackholed(*aConnection)) {
    Reset(aConnection->client);
    Reset(aConnection->server);
    this->connections.erase(aConnection);
  }
}

asio::awaitable<void>
Relay::State::ConnectToTarget(std::shared_ptr<RelayedConnection> aConnection)
{
  boost::system::error_code error;
  co_await aConnection->server.async_connect(
    this->target, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    Reset(aConnection->client);
    co_return;
  }
  boost::system::error_code ignored;
  aConnection->client.set_option(tcp::no_delay(true), ignored);
  aConnection->server.set_option(tcp::no_delay(true), ignored);
  this->connections.insert(aConnection);
  asio::co_spawn(
    this->context, this->Forward(aConnection, true), asio::detached);
  asio::co_spawn(
    this->context, this->Forward(aConnection, false), asio::detached);
}

asio::awaitable<void>
Relay::State::Accept()
{
  boost::system::error_code error;
  while (this->acceptor.is_open()) {
    auto connection = std::make_shared<RelayedConnection>(this->context);
    co_await this->acceptor.async_accept(
      connection->client, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    if (this->mode == RelayMode::kCut) {
      Reset(connection->client);
      continue;
    }
    asio::co_spawn(
      this->context, this->ConnectToTarget(connection), asio::detached);
  }
}

void
Relay::State::Apply(RelayMode aMode)
{
  this->mode = aMode;
  if (aMode == RelayMode::kClosed) {
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
  } else if (!this->acceptor.is_open()) {
    this->acceptor = tcp::acceptor(this->context, this->listen, true);
    asio::co_spawn(this->context, this->Accept(), asio::detached);
  }
  const bool isReset = aMode == RelayMode::kCut || aMode == RelayMode::kClosed;
  for (const std::shared_ptr<RelayedConnection>& connection :
       this->connections) {
    connection->isBlackholed = connection->isBlackholed ||
                               aMode == RelayMode::kBlackholeOpen ||
                               aMode == RelayMode::kBlackhole;
    if (isReset) {
      Reset(connection->client);
      Reset(connection->server);
    }
  }
  if (isReset) {
    this->connections.clear();
  }
}

Relay::Relay(Endpoint aListen, const Endpoint& aTarget)
  : Relay(std::move(aListen), aTarget, std::make_shared<RelayThread>())
{
}

Relay::Relay(Endpoint aListen,
             const Endpoint& aTarget,
             std::shared_ptr<RelayThread> aThread)
  : listen(std::move(aListen))
  , state(std::make_shared<State>(this->listen, std::move(aThread)))
{
  this->state->target = ToTcp(aTarget);
  asio::co_spawn(this->state->context, this->state->Accept(), asio::detached);
}

Relay::~Relay()
{
  this->state->thread->Stop();
}

void
Relay::Set(RelayMode aMode)
{
  asio::post(this->state->context,
             [state = this->state, aMode] { state->Apply(aMode); });
}

void
Relay::SetDelay(Milliseconds aDelay)
{
  asio::post(this->state->context,
             [state = this->state, aDelay] { state->delay = aDelay; });
}

std::uint64_t
Relay::ForwardedBytes() const
{
  return this->state->forwarded;
}

}
