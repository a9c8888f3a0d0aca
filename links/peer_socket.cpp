#include "links/peer_socket.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace sardinecourse {

namespace {

constexpr std::size_t kMessageLimitBytes = 8U << 20U;
constexpr std::size_t kQueueLimitBytes = 16U << 20U;
constexpr std::size_t kReadBufferBytes = 4096;
constexpr long kOpenTimeoutMs = 2000;
constexpr long kCloseTimeoutMs = 1000;
constexpr int kBacklog = 256;

// websocketpp requires these names in its configuration types.
// NOLINTBEGIN(readability-identifier-naming)

/** Configuration of websocketpp: without locks, because one thread runs all
 * connections, and without its own log, because the daemon logs peer events. */
template<typename Base>
struct QuietConfig : public Base
{
  using type = QuietConfig<Base>;
  using concurrency_type = websocketpp::concurrency::none;
  using alog_type =
    websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
  using elog_type =
    websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
  static const websocketpp::log::level alog_level =
    websocketpp::log::alevel::none;
  static const websocketpp::log::level elog_level =
    websocketpp::log::elevel::none;
  static const std::size_t connection_read_buffer_size = kReadBufferBytes;
  static const std::size_t max_message_size = kMessageLimitBytes;
  static const long timeout_open_handshake = kOpenTimeoutMs;
  static const long timeout_close_handshake = kCloseTimeoutMs;

  struct transport_config : public Base::transport_config
  {
    using concurrency_type = QuietConfig::concurrency_type;
    using alog_type = QuietConfig::alog_type;
    using elog_type = QuietConfig::elog_type;
    static const long timeout_connect = kOpenTimeoutMs;
  };
  using transport_type =
    websocketpp::transport::asio::endpoint<transport_config>;
};

// NOLINTEND(readability-identifier-naming)

using Server = websocketpp::server<QuietConfig<websocketpp::config::asio>>;
using Client =
  websocketpp::client<QuietConfig<websocketpp::config::asio_client>>;

/** Operations of a connection, accepted or dialled; hides the type of the
 * websocketpp connection. */
struct Connection
{
  std::function<bool(const std::string&)> send;
  std::function<void()> drop;
  std::function<void()> close;
};

/** Turns off Nagle's algorithm: small messages must not wait for the
 * acknowledgement of earlier ones. */
template<typename ConnectionType>
void
DisableNagle(ConnectionType& aConnection)
{
  boost::system::error_code ignored;
  aConnection.get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                          ignored);
}

}

struct PeerSocket::State : public std::enable_shared_from_this<State>
{
  State(boost::asio::io_context& aContext, Events aEvents)
    : context(&aContext)
    , events(std::move(aEvents))
  {
  }

  template<typename Endpoint>
  void Prepare(Endpoint& aEndpoint);
  template<typename Pointer>
  void Register(const Pointer& aConnection, Id aId);
  void PostClose(Id aId, const std::string& aError);

  boost::asio::io_context* context;
  Events events;
  Server server;
  Client client;
  std::unordered_map<Id, Connection> connections;
  Id nextId = 1;
  bool isListening = false;
  bool isDestroyed = false;
};

template<typename Endpoint>
void
PeerSocket::State::Prepare(Endpoint& aEndpoint)
{
  aEndpoint.clear_access_channels(websocketpp::log::alevel::all);
  aEndpoint.clear_error_channels(websocketpp::log::elevel::all);
  aEndpoint.init_asio(this->context);
}

template<typename Pointer>
void
PeerSocket::State::Register(const Pointer& aConnection, Id aId)
{
  // The handlers keep only a weak reference to the state, because the library
  // keeps connections alive as long as their timers run.
  const std::weak_ptr<State> weak = this->weak_from_this();
  aConnection->set_open_handler([weak, aId](const auto&) {
    const auto self = weak.lock();
    if (self && self->connections.count(aId) > 0) {
      self->events.onOpen(aId);
    }
  });
  aConnection->set_message_handler(
    [weak, aId](const auto&, const auto& aMessage) {
      const auto self = weak.lock();
      if (self && self->connections.count(aId) > 0) {
        self->events.onMessage(aId, aMessage->get_payload());
      }
    });
  const std::weak_ptr<typename Pointer::element_type> weakConnection =
    aConnection;
  const auto onClosed = [weak, weakConnection, aId](const auto&) {
    const auto self = weak.lock();
    const Pointer connection = weakConnection.lock();
    if (self && connection) {
      self->PostClose(aId, connection->get_ec().message());
    }
  };
  aConnection->set_close_handler(onClosed);
  aConnection->set_fail_handler(onClosed);
  Connection& entry = this->connections[aId];
  entry.send = [aConnection](const std::string& aBytes) {
    return aConnection->get_state() == websocketpp::session::state::open &&
           aConnection->get_buffered_amount() < kQueueLimitBytes &&
           !aConnection->send(aBytes, websocketpp::frame::opcode::binary);
  };
  entry.drop = [aConnection] {
    aConnection->terminate(websocketpp::error::make_error_code(
      websocketpp::error::operation_canceled));
  };
  entry.close = [aConnection] {
    websocketpp::lib::error_code ignored;
    aConnection->close(
      websocketpp::close::status::going_away, "planned stop", ignored);
  };
}

/** Posts onClose to the event loop, because the library calls some of its close
 * and fail handlers from inside calls of PeerSocket. */
void
PeerSocket::State::PostClose(Id aId, const std::string& aError)
{
  const std::weak_ptr<State> weak = this->weak_from_this();
  boost::asio::post(*this->context, [weak, aId, aError] {
    const auto self = weak.lock();
    if (self && self->connections.erase(aId) > 0) {
      self->events.onClose(aId, aError);
    }
  });
}

PeerSocket::PeerSocket(boost::asio::io_context& aContext, Events aEvents)
  : state(std::make_shared<State>(aContext, std::move(aEvents)))
{
  this->state->Prepare(this->state->server);
  this->state->Prepare(this->state->client);
  this->state->server.set_reuse_addr(true);
  this->state->server.set_listen_backlog(kBacklog);
  const std::weak_ptr<State> weak = this->state;
  this->state->server.set_tcp_pre_init_handler(
    [weak](const websocketpp::connection_hdl& aHandle) {
      const auto self = weak.lock();
      websocketpp::lib::error_code error;
      const auto connection =
        self ? self->server.get_con_from_hdl(aHandle, error) : nullptr;
      if (connection && !self->isDestroyed) {
        DisableNagle(*connection);
        // The connection is registered before the handshake, so that the
        // destructor also drops connections with an unfinished handshake.
        self->Register(connection, self->nextId++);
      }
    });
  this->state->client.set_tcp_pre_init_handler(
    [weak](const websocketpp::connection_hdl& aHandle) {
      const auto self = weak.lock();
      websocketpp::lib::error_code error;
      const auto connection =
        self ? self->client.get_con_from_hdl(aHandle, error) : nullptr;
      if (connection) {
        DisableNagle(*connection);
      }
    });
}

PeerSocket::~PeerSocket()
{
  // The handlers ignore connections that are not in the map, so no more events
  // are reported.
  const auto connections = std::exchange(this->state->connections, {});
  this->state->isDestroyed = true;
  for (const auto& [id, connection] : connections) {
    connection.drop();
  }
  websocketpp::lib::error_code ignored;
  if (std::exchange(this->state->isListening, false)) {
    this->state->server.stop_listening(ignored);
  }
  // The library's pending handlers refer to its endpoints, so the timer keeps
  // these alive until the library's last timer has expired.
  const auto timer = std::make_shared<boost::asio::steady_timer>(
    *this->state->context,
    std::chrono::milliseconds(kOpenTimeoutMs + kCloseTimeoutMs));
  timer->async_wait([timer, state = this->state](const auto&) {});
}

bool
PeerSocket::Listen(const std::string& aIp,
                   std::uint16_t aPort,
                   std::string& aError)
{
  boost::system::error_code addressError;
  const auto address = boost::asio::ip::make_address(aIp, addressError);
  if (addressError) {
    aError = addressError.message();
    return false;
  }
  websocketpp::lib::error_code error;
  this->state->server.listen(boost::asio::ip::tcp::endpoint(address, aPort),
                             error);
  if (!error) {
    this->state->isListening = true;
    this->state->server.start_accept(error);
  }
  aError = error ? error.message() : "";
  return !error;
}

PeerSocket::Id
PeerSocket::Connect(const std::string& aIp, std::uint16_t aPort)
{
  const bool isIpV6 = aIp.find(':') != std::string::npos;
  const std::string host = isIpV6 ? "[" + aIp + "]" : aIp;
  websocketpp::lib::error_code error;
  const auto connection = this->state->client.get_connection(
    "ws://" + host + ":" + std::to_string(aPort) + "/peer", error);
  if (error) {
    return 0;
  }
  const Id id = this->state->nextId++;
  this->state->Register(connection, id);
  this->state->client.connect(connection);
  return id;
}

bool
PeerSocket::Send(Id aId, const std::string& aBytes)
{
  const auto found = this->state->connections.find(aId);
  return found != this->state->connections.end() && found->second.send(aBytes);
}

void
PeerSocket::Drop(Id aId)
{
  const auto found = this->state->connections.find(aId);
  if (found == this->state->connections.end()) {
    return;
  }
  found->second.drop();
  this->state->PostClose(aId, "dropped");
}

void
PeerSocket::Stop()
{
  websocketpp::lib::error_code ignored;
  if (std::exchange(this->state->isListening, false)) {
    this->state->server.stop_listening(ignored);
  }
  for (const auto& [id, connection] : this->state->connections) {
    connection.close();
  }
}

}
