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

/** Learns which minions leave, and which are back: from the platform's list of
 * hosts, and by asking those that were seen to leave. Runs on the control
 * thread. */
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
  boost::asio::awaitable<void> WatchHostList();
  boost::asio::awaitable<void> WatchLeaving();
  /** Asks a minion that was seen to leave whether it still does. */
  boost::asio::awaitable<void> Ask(std::shared_ptr<MinionState> aSlot);
  boost::asio::awaitable<bool> Stays(std::shared_ptr<MinionState> aSlot);
  boost::asio::awaitable<void> Pause(Milliseconds aTime);

  boost::asio::io_context* context;
  MinionRegistry* minions;
  PlatformLink* platform;
  /** When each peer's sign was first seen here. */
  std::map<const MinionState*, Instant> peersSigns;
};

}
