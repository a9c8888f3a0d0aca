#pragma once

#include "contracts/domain_gain.h"
#include "contracts/domain_host_settings.h"
#include "core/stop_budget.h"
#include "daemon/caller_load_watch.h"
#include "daemon/lease_thread.h"
#include "daemon/metrics_handler.h"
#include "links/http_server.h"
#include "machines/caller_load.h"
#include "platform/readiness_handler.h"
#include "platform/schema.h"
#include "platform/store_link.h"
#include "platform/worker_calls.h"
#include "scheduling/catalog_watcher.h"
#include "scheduling/current_catalog.h"
#include "scheduling/domain_holder.h"
#include "scheduling/domain_metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

namespace sardinecourse {

class CallerThread;
class Reason;

/**
 * The daemon of one host of a scheduling domain: threads that serve the job
 * API, a thread for the domain's lease, and one control thread, on which Run()
 * is called. The control thread keeps the service catalog current and runs the
 * holder's loops while this host holds the lease.
 */
class DomainDaemon
{
public:
  DomainDaemon(DomainHostSettings aHost, std::string aProcess);
  ~DomainDaemon();
  DomainDaemon(const DomainDaemon&) = delete;
  DomainDaemon& operator=(const DomainDaemon&) = delete;

  /** Serves until a planned stop; false, with the reason, when it could not
   * start. */
  bool Run(Reason& aReason);

private:
  using Holder =
    DomainHolder<platform::StoreLink, platform::WorkerCalls, platform::Schema>;

  bool StartServing(Reason& aReason);
  void AwaitStop();
  void AwaitReload();
  /** Stops within the host's grace time. */
  boost::asio::awaitable<void> Stop();
  boost::asio::awaitable<void> ReleaseLease();
  boost::asio::awaitable<void> EndWithBudget();
  /** Answers the last checks of readiness and calls for metrics, then ends the
   * control loop. */
  boost::asio::awaitable<void> EndControl();
  /** Logs that a step of the stop is done, with the time since the signal. */
  void LogStopStep(const char* aStep) const;
  void OnServingThreadEnded();
  /** Begins the end of the control loop once the lease is released and every
   * serving thread has ended. */
  void EndIfDone();
  bool IsReady() const;
  void OnDomainGained(const DomainGain& aGain);
  void OnDomainLost();

  DomainHostSettings host;
  boost::asio::io_context control;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  boost::asio::signal_set stopSignals;
  boost::asio::signal_set reloadSignals;
  platform::StoreLink store;
  platform::WorkerCalls workers;
  CurrentCatalog catalog;
  CatalogWatcher<platform::StoreLink, platform::Schema> catalogWatcher;
  std::shared_ptr<Holder> holder;
  CallerLoad callerLoad;
  CallerLoadWatch callerLoadWatch;
  DomainMetrics metrics;
  MetricsHandler metricsHandler;
  HttpServer<MetricsHandler> metricsServer;
  platform::ReadinessHandler readiness;
  HttpServer<platform::ReadinessHandler> readinessServer;
  std::vector<std::unique_ptr<CallerThread>> servingThreads;
  LeaseThread lease;
  std::size_t endedThreads = 0;
  bool isDraining = false;
  bool isLeaseReleased = false;
  StopBudget stopBudget;
};

}
