#pragma once

#include "core/instant.h"
#include "links/http_answer.h"
#include "links/http_request.h"
#include "tests/stand_ins/site_simulation.h"
#include "tests/stand_ins/site_store.h"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

/**
 * Stand-in for the users' platform as one HTTP service: its store and its
 * workers, which share this endpoint and are selected by the instance that a
 * call expects. Tests control it under /control/: "config" stores the site's
 * configuration, "step" sets the properties of a step, "forbid" forbids a job,
 * "faults" replaces the faults {store: refuse|hang, silent: WORKER,
 * lose_commits: COUNT, lose_orders: COUNT}, "compact" drops the store's
 * history, "restart", "replace" and "leave" apply to a worker. Each of them,
 * and "report", answers with the workers, runs, starts and violations.
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
  boost::asio::awaitable<HttpAnswer> HandleWorker(HttpRequest aRequest);
  HttpAnswer HandleControl(const HttpRequest& aRequest);
  HttpAnswer ExecuteOrder(const HttpRequest& aRequest,
                          const nlohmann::json& aBody);
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
  nlohmann::json faults = nlohmann::json::object();
  std::int64_t lastIncarnation = 1000;
};

}
