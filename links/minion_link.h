#pragma once

#include "contracts/attempt_end.h"
#include "core/instant.h"
#include "links/http_answer.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

class MinionState;
class Reason;
class SlotGuard;
struct HttpRequest;
struct MinionConnection;
struct MinionExchange;

/** One thread's connections to one minion. Not thread-safe. */
class MinionLink
{
public:
  MinionLink(boost::asio::io_context& aContext,
             std::shared_ptr<MinionState> aMinionState);
  ~MinionLink();
  MinionLink(const MinionLink&) = delete;
  MinionLink& operator=(const MinionLink&) = delete;

  /**
   * Sends the request on a connection that was recently verified and waits for
   * the complete answer. Empty, with the reason, on a failure or at the
   * deadline; aEnd then shows whether the minion may have run the request. The
   * request must contain aIdentity in its identity field. The slot is released
   * when the answer has arrived, the exchange has failed, or 2 s after the
   * deadline.
   */
  boost::asio::awaitable<std::optional<HttpAnswer>> Exchange(
    HttpRequest aRequest,
    SlotGuard aSlot,
    std::string aIdentity,
    Instant aDeadline,
    AttemptEnd& aEnd,
    Reason& aReason);

  /** Closes connections on which no answer arrived in the last 15 s. */
  void CloseIdle(Instant aNow);
  /** True if no connection is idle and none is in use. */
  bool IsUnused() const;

private:
  using ConnectionPtr = std::unique_ptr<MinionConnection>;

  boost::asio::awaitable<ConnectionPtr> AcquireConnection(Instant aDeadline,
                                                          Reason& aReason);
  boost::asio::awaitable<ConnectionPtr> OpenConnection(Instant aDeadline,
                                                       Reason& aReason);
  boost::asio::awaitable<bool> IsAlive(MinionConnection& aConnection,
                                       Instant aDeadline);
  /** Runs the exchange and waits for its end, at most until the deadline; true
   * if it ended in time. */
  boost::asio::awaitable<bool> RunUntil(
    std::shared_ptr<MinionExchange> aExchange,
    Instant aDeadline);
  std::optional<HttpAnswer> ProcessAnswer(MinionExchange& aExchange,
                                          const std::string& aIdentity,
                                          AttemptEnd& aEnd,
                                          Reason& aReason);
  void ReturnToPool(ConnectionPtr aConnection);
  /** Makes every idle connection pass a probe before it is used again. */
  void MarkIdleUnverified();

  boost::asio::io_context* context;
  std::shared_ptr<MinionState> minionState;
  /** The most recently used connection is last. */
  std::vector<ConnectionPtr> idle;
  std::int32_t inUse = 0;
  std::uint64_t nextProbe = 0;
};

}
