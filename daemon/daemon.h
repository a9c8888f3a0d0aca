#pragma once

#include "core/stop_budget.h"
#include "daemon/caller_load_watch.h"
#include "daemon/daemon_peers.h"
#include "daemon/host_settings_manager.h"
#include "daemon/job_service.h"
#include "daemon/minion_monitor.h"
#include "daemon/minion_registry.h"
#include "daemon/operator_api.h"
#include "daemon/request_context.h"
#include "daemon/routing_log.h"
#include "links/platform_link.h"
#include "machines/host_settings.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <vector>

namespace sardinecourse {

class Fleet;
class Reason;
class ServingThread;

/**
 * The daemon of one entry host: serving threads for callers, and one control
 * thread, on which Run() is called, for everything else. The control thread
 * publishes snapshots that the serving threads read.
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

  /** Applies a revision of the fleet's settings. Called on the control
   * thread. */
  void Adopt(const Fleet& aFleet);

  // Notifications and requests of other entry hosts (PeerOwner).
  const SettingsText& SettingsInForce() const;
  void OnPeerRevision(std::int64_t aRevision);
  void OnMinionLeaving(const MinionName& aMinion);
  void OnPeerLoads();
  void OnQueueChange();
  bool Promise(const HostName& aHolder, std::int64_t aTerm);

private:
  bool StartServing(Reason& aReason);
  /** Reports the host as not ready, drains the serving threads, then ends the
   * control loop. */
  void Stop();
  void DrainServing();
  void OnServingThreadEnded();
  void LogStopStep(const char* aStep) const;
  /** Ends the control loop. */
  void End();

  HostSettings settings;
  boost::asio::io_context control;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    controlWork;
  boost::asio::signal_set stopSignals;
  boost::asio::steady_timer stopTimer;
  /** Ends the process with steps of the stop that are not done. */
  boost::asio::steady_timer budgetTimer;
  PlatformLink platform;
  DaemonPeers peers;
  FleetAdopter adopter;
  HostSettingsManager settingsManager;
  OperatorApi operators;
  MinionRegistry minions;
  MinionMonitor minionMonitor;
  RequestContext requests;
  CallerLoadWatch callerLoadWatch;
  RoutingLog routingLog;
  JobService jobs;
  std::vector<std::unique_ptr<ServingThread>> servingThreads;
  std::size_t endedThreads = 0;
  StopBudget stopBudget;
};

}
