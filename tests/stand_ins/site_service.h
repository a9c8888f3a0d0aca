#pragma once

#include "core/instant.h"
#include "links/http_answer.h"
#include "links/http_request.h"
#include "tests/stand_ins/idle_jobs.h"
#include "tests/stand_ins/site_simulation.h"
#include "tests/stand_ins/site_store.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

/**
 * Stand-in for the users' platform as one HTTP service: its store and its
 * workers, which share this endpoint and are selected by the instance that a
 * call expects. Tests control it under /control/: "config" stores the site's
 * configuration, "workers" adds workers at given addresses, "step" sets the
 * properties of a step and "job" those of all steps of a job, "forbid" forbids
 * a job, "evacuate" and "take_back" apply to a data centre, "faults" replaces
 * the faults {store: refuse|hang, silent: WORKER, lose_commits: COUNT,
 * lose_orders: COUNT}, "compact" drops the store's history; "restart",
 * "replace", "leave", "exit", "cut" and "reach" apply to a worker. Each of
 * them, and "report", answers with the workers, runs, starts and violations.
 * "job", "follow" and "unfollow", which say whether a job must not idle, answer
 * with nothing; "judge" answers whether a job is done or failed; "idle" with
 * the jobs that idle.
 */
class SiteService
{
public:
  SiteService(boost::asio::io_context& aContext,
              const std::string& aAddress,
              int aWorkers);

  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest);

private:
  boost::asio::awaitable<HttpAnswer> HandleStore(HttpRequest aRequest);
  boost::asio::awaitable<HttpAnswer> HandleFeed(HttpRequest aRequest);
  /** Waits while the worker is cut off. */
  boost::asio::awaitable<void> WaitForLink(std::string aWorker);
  boost::asio::awaitable<HttpAnswer> HandleWorker(HttpRequest aRequest);
  std::int64_t NextIncarnation();
  HttpAnswer HandleControl(const HttpRequest& aRequest);
  /** Commands about a job; empty for any other command. */
  std::optional<HttpAnswer> HandleJobControl(const std::string& aCommand,
                                             const nlohmann::json& aBody);
  void HandleWorkerControl(const std::string& aCommand,
                           const nlohmann::json& aBody);
  void AddWorkers(const nlohmann::json& aBody);
  void AddJob(const nlohmann::json& aBody);
  nlohmann::json IdleReport() const;
  /** Removes the entry of a worker that has crashed. */
  boost::asio::awaitable<void> ExpireEntry(std::string aWorker,
                                           std::int64_t aIncarnation);
  HttpAnswer ExecuteOrder(const HttpRequest& aRequest,
                          const nlohmann::json& aBody);
  /** The runs and ends of a worker. */
  HttpAnswer WorkerReport(const SiteWorker& aWorker) const;
  /** Whether the worker exists and is still in that incarnation. */
  bool HasIncarnation(const std::string& aWorker,
                      std::int64_t aIncarnation) const;
  boost::asio::awaitable<void> Tick();
  boost::asio::awaitable<void> Pause(Milliseconds aTime);
  void Register(const SiteWorker& aWorker);
  void Replace(const std::string& aWorker);

  boost::asio::io_context* context;
  SiteStore store;
  SiteSimulation simulation;
  IdleJobs idleJobs;
  /** Workers whose process has ended. */
  std::map<std::string, SiteWorker> endedWorkers;
  nlohmann::json faults = nlohmann::json::object();
  std::int64_t lastIncarnation = 1000;
  int addedWorkers = 0;
};

}
