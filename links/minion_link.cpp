#include "links/minion_link.h"

#include "core/reason.h"
#include "links/http_connection.h"
#include "links/http_request.h"
#include "links/minion_protocol.h"
#include "machines/minion_slot.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds kConnectTimeout{ 1000 };
constexpr Milliseconds kProbeTimeout{ 250 };
/** A connection that answered more recently than this is taken to be alive. */
constexpr Milliseconds kProvenFor{ 1000 };
constexpr std::chrono::seconds kIdleLimit{ 15 };

/** Rounded up, so that a timer never fires before the deadline. */
Milliseconds
Until(Instant aDeadline)
{
  return std::chrono::ceil<Milliseconds>(aDeadline - Clock::now());
}

}

struct MinionLink::Connection
{
  Connection(asio::io_context& aContext, std::shared_ptr<MinionSlot> aSlot)
    : slot(std::move(aSlot))
    , http(aContext, this->slot->Upstream().Address())
  {
  }
  ~Connection() { this->slot->ConnectionClosed(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  std::shared_ptr<MinionSlot> slot;
  HttpConnection http;
  /** When the last whole answer arrived on it. */
  Instant proven;
};

MinionLink::MinionLink(asio::io_context& aContext,
                       std::shared_ptr<MinionSlot> aSlot)
  : context(&aContext)
  , slot(std::move(aSlot))
{
}

MinionLink::~MinionLink() = default;

asio::awaitable<std::optional<HttpAnswer>>
MinionLink::Exchange(const HttpRequest& aRequest,
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
  const std::string& peer = this->slot->Upstream().Name().Text();
  const Milliseconds timeout = Until(aDeadline);
  // A process that was paused meanwhile must not send what its caller no longer
  // waits for.
  if (timeout <= Milliseconds::zero()) {
    aReason = Reason(Step::kUpstreamSend, peer, "the deadline has passed");
    this->Keep(std::move(connection));
    co_return std::nullopt;
  }
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  ++this->inUse;
  std::optional<HttpAnswer> answer =
    co_await connection->http.Exchange(aRequest, timeout, progress, aReason);
  --this->inUse;
  if (!answer) {
    aEnd = progress == ExchangeProgress::kNotSent ? AttemptEnd::kNotSent
                                                  : AttemptEnd::kMaybeSent;
    this->SuspectAll();
    co_return std::nullopt;
  }
  if (SaysLeaving(*answer)) {
    this->slot->MarkLeaving();
  }
  if (IsForeign(*answer, this->slot->Upstream(), aIdentity)) {
    aEnd = AttemptEnd::kMaybeSent;
    aReason = Reason(Step::kUpstreamReceive,
                     peer,
                     "the answer belongs to another request or minion");
    co_return std::nullopt;
  }
  aEnd = IsRefusal(*answer) ? AttemptEnd::kRefused : AttemptEnd::kAnswered;
  if (aEnd == AttemptEnd::kRefused) {
    aReason = Reason(Step::kUpstreamReceive, peer, "the minion refused it");
  }
  // Where answers do not name their request, a late duplicate of this one could
  // not be told from the answer to the next.
  if (NamesRequest(*answer)) {
    connection->proven = Clock::now();
    this->Keep(std::move(connection));
  }
  co_return answer;
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
  auto connection = std::make_unique<Connection>(*this->context, this->slot);
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
MinionLink::IsAlive(Connection& aConnection, Instant aDeadline)
{
  if (!aConnection.http.Quiet()) {
    co_return false;
  }
  if (Clock::now() - aConnection.proven < kProvenFor) {
    co_return true;
  }
  const HttpRequest probe = MakeProbe(this->slot->Upstream());
  const Milliseconds timeout =
    std::clamp(Until(aDeadline), Milliseconds(1), kProbeTimeout);
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  Reason ignored;
  const std::optional<HttpAnswer> answer =
    co_await aConnection.http.Exchange(probe, timeout, progress, ignored);
  if (!answer || !aConnection.http.Reusable()) {
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
