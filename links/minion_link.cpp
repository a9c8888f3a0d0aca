#include "links/minion_link.h"

#include "core/reason.h"
#include "links/http_connection.h"
#include "links/http_request.h"
#include "links/minion_connection.h"
#include "links/minion_exchange.h"
#include "links/minion_protocol.h"
#include "machines/minion_state.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds kConnectTimeout{ 1000 };
constexpr Milliseconds kProbeTimeout{ 250 };
/** A connection that answered more recently than this is taken to be alive. */
constexpr Milliseconds kProvenFor{ 1000 };
constexpr std::chrono::seconds kIdleLimit{ 15 };
/** How long after the deadline a minion is taken to work on a request still. */
constexpr std::chrono::seconds kLingerLimit{ 2 };

/** Rounded up, so that a timer never fires before the deadline. */
Milliseconds
Until(Instant aDeadline)
{
  return std::chrono::ceil<Milliseconds>(aDeadline - Clock::now());
}

/** Carries one exchange to its end, whoever still waits for it. */
asio::awaitable<void>
Fly(std::shared_ptr<MinionExchange> aExchange, Milliseconds aTimeout)
{
  aExchange->answer = co_await aExchange->connection->http.Exchange(
    aExchange->request, aTimeout, aExchange->progress, aExchange->reason);
  aExchange->hasEnded = true;
  aExchange->ended.cancel();
}

}

MinionLink::MinionLink(asio::io_context& aContext,
                       std::shared_ptr<MinionState> aSlot)
  : context(&aContext)
  , slot(std::move(aSlot))
{
}

MinionLink::~MinionLink() = default;

asio::awaitable<std::optional<HttpAnswer>>
MinionLink::Exchange(HttpRequest aRequest,
                     SlotGuard aHold,
                     std::string aIdentity,
                     Instant aDeadline,
                     AttemptEnd& aEnd,
                     Reason& aReason)
{
  aEnd = AttemptEnd::kNotSent;
  ++this->inUse;
  ConnectionPtr connection = co_await this->Obtain(aDeadline, aReason);
  --this->inUse;
  if (!connection) {
    co_return std::nullopt;
  }
  // A process that was paused meanwhile must not send what its caller no longer
  // waits for.
  if (Until(aDeadline) <= Milliseconds::zero()) {
    aReason = Reason(Step::kUpstreamSend,
                     this->slot->Upstream().Name().Text(),
                     "the deadline has passed");
    this->Keep(std::move(connection));
    co_return std::nullopt;
  }
  auto flight = std::make_shared<MinionExchange>(*this->context,
                                                 std::move(connection),
                                                 std::move(aRequest),
                                                 std::move(aHold));
  ++this->inUse;
  const bool hasEnded = co_await this->Await(flight, aDeadline);
  --this->inUse;
  if (!hasEnded) {
    aEnd = AttemptEnd::kMaybeSent;
    aReason = Reason(Step::kUpstreamReceive,
                     this->slot->Upstream().Name().Text(),
                     "no whole answer before the deadline");
    this->SuspectAll();
    co_return std::nullopt;
  }
  flight->hold.reset();
  co_return this->Accept(*flight, aIdentity, aEnd, aReason);
}

asio::awaitable<bool>
MinionLink::Await(std::shared_ptr<MinionExchange> aExchange, Instant aDeadline)
{
  boost::system::error_code ignored;
  aExchange->ended.expires_after(aDeadline - Clock::now());
  asio::awaitable<void> flying =
    Fly(aExchange, Until(aDeadline) + kLingerLimit);
  asio::co_spawn(*this->context, std::move(flying), asio::detached);
  co_await aExchange->ended.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
  co_return aExchange->hasEnded;
}

std::optional<HttpAnswer>
MinionLink::Accept(MinionExchange& aExchange,
                   const std::string& aIdentity,
                   AttemptEnd& aEnd,
                   Reason& aReason)
{
  const Minion& minion = this->slot->Upstream();
  if (!aExchange.answer) {
    const bool isUnsent = aExchange.progress == ExchangeProgress::kNotSent;
    aEnd = isUnsent ? AttemptEnd::kNotSent : AttemptEnd::kMaybeSent;
    aReason = aExchange.reason;
    this->SuspectAll();
    return std::nullopt;
  }
  if (SaysLeaving(*aExchange.answer)) {
    this->slot->MarkLeaving(LeavingSource::kMinion);
  }
  MinionConnection& connection = *aExchange.connection;
  const bool isNamed = NamesRequest(*aExchange.answer);
  if (IsForeign(*aExchange.answer, minion, aIdentity) ||
      (connection.namesRequests && !isNamed)) {
    aEnd = AttemptEnd::kMaybeSent;
    aReason = Reason(Step::kUpstreamReceive,
                     minion.Name().Text(),
                     "the answer belongs to another request or minion");
    return std::nullopt;
  }
  const bool isRefused = IsRefusal(*aExchange.answer);
  aEnd = isRefused ? AttemptEnd::kRefused : AttemptEnd::kAnswered;
  if (isRefused) {
    aReason = Reason(
      Step::kUpstreamReceive, minion.Name().Text(), "the minion refused it");
  }
  // Where answers do not name their request, a late duplicate of this one could
  // not be told from the answer to the next.
  if (isNamed) {
    connection.namesRequests = true;
    connection.proven = Clock::now();
    this->Keep(std::move(aExchange.connection));
  }
  return std::move(aExchange.answer);
}

void
MinionLink::CloseIdle(Instant aNow)
{
  const auto isOld = [aNow](const ConnectionPtr& aConnection) {
    return aNow - aConnection->proven > kIdleLimit;
  };
  this->idle.erase(std::remove_if(this->idle.begin(), this->idle.end(), isOld),
                   this->idle.end());
}

bool
MinionLink::Unused() const
{
  return this->idle.empty() && this->inUse == 0;
}

asio::awaitable<MinionLink::ConnectionPtr>
MinionLink::Obtain(Instant aDeadline, Reason& aReason)
{
  while (!this->idle.empty()) {
    ConnectionPtr connection = std::move(this->idle.back());
    this->idle.pop_back();
    const bool isAlive = co_await this->IsAlive(*connection, aDeadline);
    if (isAlive) {
      co_return connection;
    }
  }
  ConnectionPtr opened = co_await this->Open(aDeadline, aReason);
  co_return opened;
}

asio::awaitable<MinionLink::ConnectionPtr>
MinionLink::Open(Instant aDeadline, Reason& aReason)
{
  const std::string& peer = this->slot->Upstream().Name().Text();
  if (!this->slot->TryOpenConnection()) {
    aReason = Reason(Step::kUpstreamConnect,
                     peer,
                     "this host's share of its connections is in use");
    co_return nullptr;
  }
  auto connection =
    std::make_unique<MinionConnection>(*this->context, this->slot);
  const Milliseconds timeout =
    std::clamp(Until(aDeadline), Milliseconds(1), kConnectTimeout);
  const bool isOpen = co_await connection->http.Connect(timeout, aReason);
  if (!isOpen) {
    co_return nullptr;
  }
  connection->proven = Clock::now();
  co_return connection;
}

asio::awaitable<bool>
MinionLink::IsAlive(MinionConnection& aConnection, Instant aDeadline)
{
  if (!aConnection.http.Quiet()) {
    co_return false;
  }
  if (Clock::now() - aConnection.proven < kProvenFor) {
    co_return true;
  }
  const std::string identity = "probe-" + std::to_string(this->nextProbe++);
  const HttpRequest probe = MakeProbe(this->slot->Upstream(), identity);
  const Milliseconds timeout =
    std::clamp(Until(aDeadline), Milliseconds(1), kProbeTimeout);
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  Reason ignored;
  const std::optional<HttpAnswer> answer =
    co_await aConnection.http.Exchange(probe, timeout, progress, ignored);
  const bool isOwn = answer && NamesRequest(*answer) &&
                     !IsForeign(*answer, this->slot->Upstream(), identity);
  if (!isOwn || !aConnection.http.Reusable()) {
    this->SuspectAll();
    co_return false;
  }
  aConnection.proven = Clock::now();
  co_return aConnection.http.Quiet();
}

void
MinionLink::Keep(ConnectionPtr aConnection)
{
  if (aConnection->http.Reusable()) {
    this->idle.push_back(std::move(aConnection));
  }
}

void
MinionLink::SuspectAll()
{
  // Something between the two ends may have lost track of all connections that
  // were open by now; each proves itself before it is used again.
  for (const ConnectionPtr& connection : this->idle) {
    connection->proven =
      std::min(connection->proven, Clock::now() - kProvenFor);
  }
}

}
