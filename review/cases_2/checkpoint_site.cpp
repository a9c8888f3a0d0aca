#include "core/endpoint.h"
#include "core/reason.h"
#include "links/http_server.h"
#include "tests/stand_ins/site_service.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <utility>

/**
 * The project's stand-in for the platform and its minions, whose tasks also
 * report checkpoints: a text of kCheckpointBytes that changes as the task
 * proceeds.
 */
namespace {

using nlohmann::json;
using namespace sardinecourse;

constexpr std::size_t kCheckpointBytes = 1000;
/** Columns of a running task in a minion's report. */
constexpr std::size_t kTaskColumn = 0;
constexpr std::size_t kCheckpointColumn = 2;
constexpr std::size_t kPercentColumn = 3;

class CheckpointSite
{
public:
  CheckpointSite(boost::asio::io_context& aContext,
                 const std::string& aAddress,
                 int aWorkers)
    : service(aContext, aAddress, aWorkers)
  {
  }

  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest)
  {
    HttpAnswer answer = co_await this->service.Handle(std::move(aRequest));
    json body = json::parse(answer.body, nullptr, false);
    if (body.is_object() && body.contains("Running")) {
      for (json& run : body["Running"]) {
        AddCheckpoint(run);
      }
      answer.body = body.dump();
    }
    co_return answer;
  }

private:
  static void AddCheckpoint(json& aRun)
  {
    const int percent = aRun.at(kPercentColumn).get<int>();
    if (percent > 0) {
      std::string text =
        aRun.at(kTaskColumn).get<std::string>() + "/" + std::to_string(percent);
      text.resize(kCheckpointBytes, '0');
      aRun.at(kCheckpointColumn) = text;
    }
  }

  SiteService service;
};

}

int
main(int aCount, const char** aArguments)
{
  const char* listen = nullptr;
  int workers = 1;
  const poptOption options[] = {
    { "listen",
      'l',
      POPT_ARG_STRING,
      &listen,
      0,
      "Endpoint of the site",
      "IP:PORT" },
    { "workers", 'w', POPT_ARG_INT, &workers, 0, "Number of workers", "COUNT" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("checkpoint_site", aCount, aArguments, options, 0);
  const int parsed = poptGetNextOpt(context);
  Reason reason;
  const auto endpoint =
    Endpoint::Parse(listen == nullptr ? "" : listen, reason);
  if (parsed < -1 || !endpoint) {
    std::cerr << "checkpoint_site: --listen IP:PORT is required\n";
    return 1;
  }
  poptFreeContext(context);
  boost::asio::io_context loop(1);
  CheckpointSite site(loop, endpoint->Text(), workers);
  HttpServer<CheckpointSite> server(loop, site);
  if (!server.Listen(*endpoint, reason)) {
    std::cerr << reason.Message() << '\n';
    return 1;
  }
  loop.run();
  return 0;
}
