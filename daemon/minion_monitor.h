#pragma once

#include "core/instant.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

namespace sardinecourse {

class MinionRegistry;
class MinionState;
class PlatformLink;

/** Tracks which minions are leaving and which are available again: reads the
 * platform's list of hosts and probes the minions marked as leaving. Runs on
 * the control thread. */
class MinionMonitor
{
public:
  MinionMonitor(boost::asio::io_context& aContext,
                MinionRegistry& aMinions,
                PlatformLink& aPlatform)
    : context(&aContext)
    , minions(&aMinions)
    , platform(&aPlatform)
  {
  }

  void Start();

private:
  boost::asio::awaitable<void> PollHostList();
  boost::asio::awaitable<void> ProbeLeavingMinions();
  /** Probes a minion marked as leaving and clears the marks that no longer
   * apply. */
  boost::asio::awaitable<void> Probe(std::shared_ptr<MinionState> aState);
  /** Whether the minion answers a probe as one that is not leaving. */
  boost::asio::awaitable<bool> IsAvailable(std::shared_ptr<MinionState> aState);
  boost::asio::awaitable<void> Pause(Milliseconds aTime);

  boost::asio::io_context* context;
  MinionRegistry* minions;
  PlatformLink* platform;
  /** When each minion that is marked as leaving was first probed. */
  std::map<const MinionState*, Instant> firstProbed;
};

}
