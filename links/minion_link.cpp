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
/** A connection that was verified within this time is used without a probe. */
constexpr Milliseconds kVerifiedFor{ 1000 };
constexpr std::chrono::seconds kIdleLimit{ 15 };
/** How long after the deadline a minion is assumed to be still working on the
 * request. */
constexpr std::chrono::seconds kLingerLimit{ 2 };

/** Time until the deadline, rounded up so that a timer never fires before it.
 */
Milliseconds
TimeLeft(Instant aDeadline)
{
  return std::chrono::ceil<Milliseconds>(aDeadline - Clock::now());
}

/** Runs one exchange to its end, even when the caller has stopped waiting. */
asio::awaitable<void>
RunExchange(std::shared_ptr<MinionExchange> aExchange, Milliseconds aTimeout)
{
  aExchange->answer = co_await aExchange->connection->http.Exchange(
    aExchange->request, aTimeout, aExchange->progress, aExchange->reason);
  aExchange->hasEnded = true;
  aExchange->endTimer.cancel();
}

}

MinionLink::MinionLink(asio::io_context& aContext,
                       std::shared_ptr<MinionState> aMinionState)
  : context(&aContext)
  , minionState(std::move(aMinionState))
{
}

MinionLink::~MinionLink() = default;

asio::awaitable<std::optional<HttpAnswer>>
MinionLink::Exchange(HttpRequest aRequest,
                     SlotGuard aSlot,
                     std::string aIdentity,
                     Instant aDeadline,
                     AttemptEnd& aEnd,
                     Reason& aReason)
{
  aEnd = AttemptEnd::kNotSent;
  ++this->inUse;
  ConnectionPtr connection =
    co_await this->AcquireConnection(aDeadline, aReason);
  --this->inUse;
  if (!connection) {
    co_return std::nullopt;
  }
  // This process may have been paused while it waited: a request whose caller
  // has stopped waiting must not be sent.
  if (TimeLeft(aDeadline) <= Milliseconds::zero()) {
    aReason = Reason(Step::kUpstreamSend,
                     this->minionState->Upstream().Name().Text(),
                     "the deadline has passed");
    this->ReturnToPool(std::move(connection));
    co_return std::nullopt;
  }
  auto exchange = std::make_shared<MinionExchange>(*this->context,
                                                   std::move(connection),
                                                   std::move(aRequest),
                                                   std::move(aSlot));
  ++this->inUse;
  const bool hasEnded = co_await this->RunUntil(exchange, aDeadline);
  --this->inUse;
  if (!hasEnded) {
    aEnd = AttemptEnd::kMaybeSent;
    aReason = Reason(Step::kUpstreamReceive,
                     this->minionState->Upstream().Name().Text(),
                     "no complete answer before the deadline");
    this->MarkIdleUnverified();
    co_return std::nullopt;
  }
  exchange->slot.reset();
  co_return this->ProcessAnswer(*exchange, aIdentity, aEnd, aReason);
}

asio::awaitable<bool>
MinionLink::RunUntil(std::shared_ptr<MinionExchange> aExchange,
                     Instant aDeadline)
{
  boost::system::error_code ignored;
  aExchange->endTimer.expires_after(aDeadline - Clock::now());
  asio::awaitable<void> running =
    RunExchange(aExchange, TimeLeft(aDeadline) + kLingerLimit);
  asio::co_spawn(*this->context, std::move(running), asio::detached);
  co_await aExchange->endTimer.async_wait(
    asio::redirect_error(asio::use_awaitable, ignored));
  co_return aExchange->hasEnded;
}

std::optional<HttpAnswer>
MinionLink::ProcessAnswer(MinionExchange& aExchange,
                          const std::string& aIdentity,
                          AttemptEnd& aEnd,
                          Reason& aReason)
{
  const Minion& minion = this->minionState->Upstream();
  if (!aExchange.answer) {
    const bool isUnsent = aExchange.progress == ExchangeProgress::kNotSent;
    aEnd = isUnsent ? AttemptEnd::kNotSent : AttemptEnd::kMaybeSent;
    aReason = aExchange.reason;
    this->MarkIdleUnverified();
    return std::nullopt;
  }
  if (IndicatesLeaving(*aExchange.answer)) {
    this->minionState->MarkLeaving(LeavingSource::kMinion);
  }
  MinionConnection& connection = *aExchange.connection;
  const bool hasIdentity = HasRequestIdentity(*aExchange.answer);
  if (IsMismatched(*aExchange.answer, minion, aIdentity) ||
      (connection.echoesIdentity && !hasIdentity)) {
    aEnd = AttemptEnd::kMaybeSent;
    aReason = Reason(Step::kUpstreamReceive,
                     minion.Name().Text(),
                     "the answer belongs to another request or minion");
    return std::nullopt;
  }
  const bool isRefused = IsRefusal(*aExchange.answer);
  aEnd = isRefused ? AttemptEnd::kRefused : AttemptEnd::kAnswered;
  if (isRefused) {
    aReason = Reason(Step::kUpstreamReceive,
                     minion.Name().Text(),
                     "the minion refused the request");
  }
  // If answers do not contain the identity of their request, a late duplicate
  // of this answer could be taken for the answer to the next request.
  if (hasIdentity) {
    connection.echoesIdentity = true;
    connection.lastVerified = Clock::now();
    this->ReturnToPool(std::move(aExchange.connection));
  }
  return std::move(aExchange.answer);
}

void
MinionLink::CloseIdle(Instant aNow)
{
  const auto isExpired = [aNow](const ConnectionPtr& aConnection) {
    return aNow - aConnection->lastVerified > kIdleLimit;
  };
  this->idle.erase(
    std::remove_if(this->idle.begin(), this->idle.end(), isExpired),
    this->idle.end());
}

bool
MinionLink::IsUnused() const
{
  return this->idle.empty() && this->inUse == 0;
}

asio::awaitable<MinionLink::ConnectionPtr>
MinionLink::AcquireConnection(Instant aDeadline, Reason& aReason)
{
  while (!this->idle.empty()) {
    ConnectionPtr connection = std::move(this->idle.back());
    this->idle.pop_back();
    const bool isAlive = co_await this->IsAlive(*connection, aDeadline);
    if (isAlive) {
      co_return connection;
    }
  }
  ConnectionPtr opened = co_await this->OpenConnection(aDeadline, aReason);
  co_return opened;
}

asio::awaitable<MinionLink::ConnectionPtr>
MinionLink::OpenConnection(Instant aDeadline, Reason& aReason)
{
  const std::string& peer = this->minionState->Upstream().Name().Text();
  if (!this->minionState->TryOpenConnection()) {
    aReason = Reason(Step::kUpstreamConnect,
                     peer,
                     "all of this host's share of connections are in use");
    co_return nullptr;
  }
  auto connection =
    std::make_unique<MinionConnection>(*this->context, this->minionState);
  const Milliseconds timeout =
    std::clamp(TimeLeft(aDeadline), Milliseconds(1), kConnectTimeout);
  const bool isOpen = co_await connection->http.Connect(timeout, aReason);
  if (!isOpen) {
    co_return nullptr;
  }
  connection->lastVerified = Clock::now();
  co_return connection;
}

asio::awaitable<bool>
MinionLink::IsAlive(MinionConnection& aConnection, Instant aDeadline)
{
  if (!aConnection.http.HasNoPendingInput()) {
    co_return false;
  }
  if (Clock::now() - aConnection.lastVerified < kVerifiedFor) {
    co_return true;
  }
  const std::string identity = "probe-" + std::to_string(this->nextProbe++);
  const HttpRequest probe = MakeProbe(this->minionState->Upstream(), identity);
  const Milliseconds timeout =
    std::clamp(TimeLeft(aDeadline), Milliseconds(1), kProbeTimeout);
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  Reason ignored;
  const std::optional<HttpAnswer> answer =
    co_await aConnection.http.Exchange(probe, timeout, progress, ignored);
  const bool isProbeAnswer =
    answer && HasRequestIdentity(*answer) &&
    !IsMismatched(*answer, this->minionState->Upstream(), identity);
  if (!isProbeAnswer || !aConnection.http.Reusable()) {
    this->MarkIdleUnverified();
    co_return false;
  }
  aConnection.lastVerified = Clock::now();
  co_return aConnection.http.HasNoPendingInput();
}

void
MinionLink::ReturnToPool(ConnectionPtr aConnection)
{
  if (aConnection->http.Reusable()) {
    this->idle.push_back(std::move(aConnection));
  }
}

void
MinionLink::MarkIdleUnverified()
{
  // A middlebox may have dropped the state of all connections that are open
  // now, so each must pass a probe before it is used again.
  for (const ConnectionPtr& connection : this->idle) {
    connection->lastVerified =
      std::min(connection->lastVerified, Clock::now() - kVerifiedFor);
  }
}

}
