#pragma once

#include "core/instant.h"
#include "links/http_answer.h"
#include "links/http_request.h"
#include "tests/stand_ins/platform_table_store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <string>
#include <vector>

namespace sardinecourse {

/**
 * Stand-in for the platform: HTTP with JSON bodies.
 *   POST /table/read {key}, /table/scan {prefix}
 *   POST /table/transaction {checks: [{key, revision}], writes: [{key, value}]}
 *   PUT, GET, DELETE /objects/NAME
 *   GET /hosts -> {live, leaving}; POST /hosts {name, state: live|leaving|gone}
 *   POST /faults {down: none|refuse|hang, slow_ms, lose_answers, host_lag_ms}
 *   GET /counts -> {reads, writes}
 * "refuse" answers 503 without effect; "hang" delays all answers until it ends.
 * slow_ms delays each answer; host_lag_ms delays a host change's appearance in
 * GET /hosts. lose_answers is a number of transactions that take effect and
 * are then answered with 504.
 */
class PlatformService
{
public:
  explicit PlatformService(boost::asio::io_context& aContext);

  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest);

private:
  struct HostChange
  {
    Instant visibleAt;
    std::string name;
    std::string state;
  };

  bool HandleControl(const HttpRequest& aRequest, HttpAnswer& aAnswer);
  HttpAnswer HandlePlatform(const HttpRequest& aRequest);
  HttpAnswer HandleTable(const HttpRequest& aRequest);
  HttpAnswer HandleObject(const HttpRequest& aRequest);
  HttpAnswer HostList();
  void SetFaults(const std::string& aBody);
  void SetHost(const std::string& aBody);
  boost::asio::awaitable<void> Pause(Milliseconds aTime);

  boost::asio::io_context* context;
  PlatformTableStore table;
  std::map<std::string, std::string> objects;
  std::vector<HostChange> hostChanges;
  std::map<std::string, std::string> hostStates;
  std::string outage = "none";
  Milliseconds answerDelay{ 0 };
  Milliseconds hostListDelay{ 0 };
  std::int64_t answersToLose = 0;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

}
