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

class MinionSlot;
class Reason;
struct HttpRequest;

/** One thread's connections to one minion. */
class MinionLink
{
public:
  MinionLink(boost::asio::io_context& aContext,
             std::shared_ptr<MinionSlot> aSlot);
  ~MinionLink();
  MinionLink(const MinionLink&) = delete;
  MinionLink& operator=(const MinionLink&) = delete;

  /**
   * Sends the request on a connection that is known to be alive and waits for
   * its whole answer. Empty, with the reason, on a failure or at the deadline;
   * aEnd tells what may be said of the request. The request carries aIdentity
   * in its identity field.
   */
  boost::asio::awaitable<std::optional<HttpAnswer>> Exchange(
    const HttpRequest& aRequest,
    std::string aIdentity,
    Instant aDeadline,
    AttemptEnd& aEnd,
    Reason& aReason);

  /** Closes connections that were not used for a while. */
  void CloseIdle(Instant aNow);
  /** True if no connection is open and none is in use. */
  bool Unused() const;

private:
  struct Connection;
  using ConnectionPtr = std::unique_ptr<Connection>;

  boost::asio::awaitable<ConnectionPtr> Obtain(Instant aDeadline,
                                               Reason& aReason);
  boost::asio::awaitable<ConnectionPtr> Open(Instant aDeadline,
                                             Reason& aReason);
  boost::asio::awaitable<bool> IsAlive(Connection& aConnection,
                                       Instant aDeadline);
  void Keep(ConnectionPtr aConnection);
  void SuspectAll();

  boost::asio::io_context* context;
  std::shared_ptr<MinionSlot> slot;
  /** The most recently used connection is last. */
  std::vector<ConnectionPtr> idle;
  std::int32_t inUse = 0;
};

}
