#pragma once

#include "core/instant.h"
#include "links/http_answer.h"
#include "links/http_request.h"
#include "tests/stand_ins/site_invariants.h"
#include "tests/stand_ins/site_store.h"

#include <boost/asio/awaitable.hpp>
#include <nlohmann/json.hpp>
#include <string>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

/**
 * The users' platform as one HTTP service: its store, and workers that all
 * listen here and are told apart by the instance that a call expects. Calls
 * under /control/ are the test's: "steps" tells what jobs are like, "faults"
 * switches faults, "restart", "replace" and "leave" name a worker, "report"
 * gives what the floor has seen.
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
  HttpAnswer CarryOut(const HttpRequest& aRequest, const nlohmann::json& aBody);
  /** Whether a worker is in the life that began then. */
  bool Lives(const std::string& aWorker, std::int64_t aBorn) const;
  boost::asio::awaitable<void> Tick();
  boost::asio::awaitable<void> Pause(Milliseconds aTime);
  void Register(const SiteWorker& aWorker);
  void Replace(const std::string& aWorker);

  boost::asio::io_context* context;
  SiteStore store;
  SiteInvariants floor;
  nlohmann::json faults = nlohmann::json::object();
  std::int64_t nextBorn = 1000;
};

}
