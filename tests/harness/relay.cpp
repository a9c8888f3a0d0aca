#include "tests/harness/relay.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
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

constexpr std::size_t kPieceBytes = 16384;

tcp::endpoint
ToTcp(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.Ip()), aEndpoint.Port() };
}

/** Closes with a reset, as a cut link or a killed host looks. */
void
Reset(tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

struct Pair
{
  explicit Pair(asio::io_context& aContext)
    : near(aContext)
    , far(aContext)
  {
  }
  tcp::socket near;
  tcp::socket far;
  bool silent = false;
};

}

struct Relay::State
{
  explicit State(const Endpoint& aListen)
    : acceptor(context, ToTcp(aListen), true)
  {
  }

  bool Drops(const Pair& aPair) const
  {
    return aPair.silent || this->mode == RelayMode::kSilent;
  }

  asio::awaitable<void> Pump(std::shared_ptr<Pair> aPair, bool aIsNear);
  asio::awaitable<void> Open(std::shared_ptr<Pair> aPair);
  asio::awaitable<void> Accept();
  void Apply(RelayMode aMode);

  asio::io_context context{ 1 };
  tcp::acceptor acceptor;
  tcp::endpoint target;
  std::set<std::shared_ptr<Pair>> pairs;
  RelayMode mode = RelayMode::kPass;
  Milliseconds delay{ 0 };
  std::atomic<std::uint64_t> forwarded = 0;
};

asio::awaitable<void>
Relay::State::Pump(std::shared_ptr<Pair> aPair, bool aIsNear)
{
  tcp::socket& from = aIsNear ? aPair->near : aPair->far;
  tcp::socket& to = aIsNear ? aPair->far : aPair->near;
  boost::system::error_code error;
  std::array<char, kPieceBytes> piece{};
  asio::steady_timer timer(this->context);
  while (!error) {
    const std::size_t size = co_await from.async_read_some(
      asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
    if (this->delay.count() > 0) {
      timer.expires_after(this->delay);
      co_await timer.async_wait(asio::use_awaitable);
    }
    if (this->Drops(*aPair)) {
      // A silent link also hides that the other end closed.
      continue;
    }
    const auto data = asio::buffer(piece, size);
    if (!error) {
      co_await asio::async_write(
        to, data, asio::redirect_error(asio::use_awaitable, error));
      this->forwarded += size;
    }
  }
  if (!this->Drops(*aPair)) {
    Reset(aPair->near);
    Reset(aPair->far);
    this->pairs.erase(aPair);
  }
}

asio::awaitable<void>
Relay::State::Open(std::shared_ptr<Pair> aPair)
{
  boost::system::error_code error;
  co_await aPair->far.async_connect(
    this->target, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    Reset(aPair->near);
    co_return;
  }
  boost::system::error_code ignored;
  aPair->near.set_option(tcp::no_delay(true), ignored);
  aPair->far.set_option(tcp::no_delay(true), ignored);
  this->pairs.insert(aPair);
  asio::co_spawn(this->context, this->Pump(aPair, true), asio::detached);
  asio::co_spawn(this->context, this->Pump(aPair, false), asio::detached);
}

asio::awaitable<void>
Relay::State::Accept()
{
  boost::system::error_code error;
  while (this->acceptor.is_open()) {
    auto pair = std::make_shared<Pair>(this->context);
    co_await this->acceptor.async_accept(
      pair->near, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    if (this->mode == RelayMode::kCut) {
      Reset(pair->near);
      continue;
    }
    asio::co_spawn(this->context, this->Open(pair), asio::detached);
  }
}

void
Relay::State::Apply(RelayMode aMode)
{
  this->mode = aMode;
  for (const std::shared_ptr<Pair>& pair : this->pairs) {
    pair->silent = pair->silent || aMode == RelayMode::kSilentOld ||
                   aMode == RelayMode::kSilent;
    if (aMode == RelayMode::kCut) {
      Reset(pair->near);
      Reset(pair->far);
    }
  }
  if (aMode == RelayMode::kCut) {
    this->pairs.clear();
  }
}

Relay::Relay(Endpoint aListen, const Endpoint& aTarget)
  : listen(std::move(aListen))
  , state(std::make_shared<State>(this->listen))
{
  this->state->target = ToTcp(aTarget);
  asio::co_spawn(this->state->context, this->state->Accept(), asio::detached);
  this->thread = std::thread([state = this->state] { state->context.run(); });
}

Relay::~Relay()
{
  this->state->context.stop();
  this->thread.join();
}

void
Relay::Set(RelayMode aMode)
{
  asio::post(this->state->context,
             [state = this->state, aMode] { state->Apply(aMode); });
}

void
Relay::Delay(Milliseconds aDelay)
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
