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

/** One thread's connections to one minion. */
class MinionLink
{
public:
  MinionLink(boost::asio::io_context& aContext,
             std::shared_ptr<MinionState> aSlot);
  ~MinionLink();
  MinionLink(const MinionLink&) = delete;
  MinionLink& operator=(const MinionLink&) = delete;

  /**
   * Sends the request on a connection that is known to be alive and waits for
   * its whole answer. Empty, with the reason, on a failure or at the deadline;
   * aEnd tells what may be said of the request. The request carries aIdentity
   * in its identity field. The slot is given back when the minion is done with
   * the request, as far as can be known, which may be after the deadline.
   */
  boost::asio::awaitable<std::optional<HttpAnswer>> Exchange(
    HttpRequest aRequest,
    SlotGuard aHold,
    std::string aIdentity,
    Instant aDeadline,
    AttemptEnd& aEnd,
    Reason& aReason);

  /** Closes connections that were not used for a while. */
  void CloseIdle(Instant aNow);
  /** True if no connection is open and none is in use. */
  bool Unused() const;

private:
  using ConnectionPtr = std::unique_ptr<MinionConnection>;

  boost::asio::awaitable<ConnectionPtr> Obtain(Instant aDeadline,
                                               Reason& aReason);
  boost::asio::awaitable<ConnectionPtr> Open(Instant aDeadline,
                                             Reason& aReason);
  boost::asio::awaitable<bool> IsAlive(MinionConnection& aConnection,
                                       Instant aDeadline);
  /** Waits for the flight's end until the deadline; true if it ended. */
  boost::asio::awaitable<bool> Await(std::shared_ptr<MinionExchange> aExchange,
                                     Instant aDeadline);
  std::optional<HttpAnswer> Accept(MinionExchange& aExchange,
                                   const std::string& aIdentity,
                                   AttemptEnd& aEnd,
                                   Reason& aReason);
  void Keep(ConnectionPtr aConnection);
  void SuspectAll();

  boost::asio::io_context* context;
  std::shared_ptr<MinionState> slot;
  /** The most recently used connection is last. */
  std::vector<ConnectionPtr> idle;
  std::int32_t inUse = 0;
  std::uint64_t nextProbe = 0;
};

}
