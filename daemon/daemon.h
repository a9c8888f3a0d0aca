#pragma once

#include "core/snapshot.h"
#include "machines/host_settings.h"
#include "zones/minion_table.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

namespace sardinecourse {

class Fleet;
class Reason;
class ServingThread;

/**
 * The daemon of one entry host: threads that serve callers, and one control
 * thread, the caller's own, for everything else. The control thread publishes
 * snapshots that the others read.
 */
class Daemon
{
public:
  explicit Daemon(HostSettings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Serves until a planned stop; false, with the reason, when it could not
   * start. */
  bool Run(Reason& aReason);

  /** Puts a revision of the fleet's settings in force. Called on the control
   * thread. */
  void Adopt(const Fleet& aFleet);

private:
  bool StartServing(Reason& aReason);
  void Stop();

  HostSettings settings;
  boost::asio::io_context control;
  Snapshot<MinionTable> minions;
  std::vector<std::unique_ptr<ServingThread>> serving;
};

}
