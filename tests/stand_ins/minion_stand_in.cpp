#include "core/reason.h"
#include "links/http_server.h"
#include "tests/stand_ins/minion_control.h"
#include "tests/stand_ins/simulated_minion.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <popt.h>

namespace sardinecourse {

namespace {

/** Command-line options. */
struct Options
{
  std::string listen = "127.0.0.1:7001";
  const char* control = "";
  const char* prefix = "m";
  /** Number in the first minion's name. */
  int first = 1;
  int count = 1;
  int slots = 8;
  int connections = 64;
  /** Run time of each request, in microseconds. */
  int serviceUs = 0;
  /** Non-zero switches the recording of executions off. */
  int unrecorded = 0;
};

bool
ParseOptions(int aCount, const char** aArguments, Options& aOptions)
{
  const poptOption table[] = { { "control",
                                 0,
                                 POPT_ARG_STRING,
                                 &aOptions.control,
                                 0,
                                 "Endpoint of the control",
                                 "IP:PORT" },
                               { "prefix",
                                 0,
                                 POPT_ARG_STRING,
                                 &aOptions.prefix,
                                 0,
                                 "Prefix of the names",
                                 nullptr },
                               { "first",
                                 0,
                                 POPT_ARG_INT,
                                 &aOptions.first,
                                 0,
                                 "Number in the first name",
                                 nullptr },
                               { "count",
                                 0,
                                 POPT_ARG_INT,
                                 &aOptions.count,
                                 0,
                                 "Number of minions",
                                 nullptr },
                               { "slots",
                                 0,
                                 POPT_ARG_INT,
                                 &aOptions.slots,
                                 0,
                                 "Slots of each minion",
                                 nullptr },
                               { "connections",
                                 0,
                                 POPT_ARG_INT,
                                 &aOptions.connections,
                                 0,
                                 "Maximum connections of each minion",
                                 nullptr },
                               { "service-us",
                                 0,
                                 POPT_ARG_INT,
                                 &aOptions.serviceUs,
                                 0,
                                 "Run time of a request in microseconds",
                                 nullptr },
                               { "unrecorded",
                                 0,
                                 POPT_ARG_NONE,
                                 &aOptions.unrecorded,
                                 0,
                                 "Do not record executions",
                                 nullptr },
                               POPT_AUTOHELP POPT_TABLEEND };
  poptContext context =
    poptGetContext("minion_stand_in", aCount, aArguments, table, 0);
  poptSetOtherOptionHelp(context, "[OPTIONS] IP:PORT");
  const int parsed = poptGetNextOpt(context);
  const char* listen = poptGetArg(context);
  if (listen != nullptr) {
    aOptions.listen = listen;
  }
  poptFreeContext(context);
  return parsed >= -1;
}

int
ReportFailure(const Reason& aReason)
{
  std::cerr << "minion_stand_in: " << aReason.Message() << '\n';
  return 1;
}

int
Run(const Options& aOptions)
{
  Reason reason;
  boost::asio::io_context context(1);
  const auto first = Endpoint::Parse(aOptions.listen, reason);
  if (!first) {
    return ReportFailure(reason);
  }
  std::vector<std::unique_ptr<SimulatedMinion>> minions;
  for (int index = 0; index < aOptions.count; ++index) {
    const auto endpoint = Endpoint::Parse(
      first->Ip() + ":" + std::to_string(first->Port() + index), reason);
    minions.push_back(std::make_unique<SimulatedMinion>(
      context,
      aOptions.prefix + std::to_string(aOptions.first + index),
      aOptions.slots,
      aOptions.connections));
    minions.back()->Faults().serviceUs = aOptions.serviceUs;
    minions.back()->SetRecording(aOptions.unrecorded == 0);
    if (!endpoint || !minions.back()->Listen(*endpoint, reason)) {
      return ReportFailure(reason);
    }
  }
  MinionControl control(minions);
  HttpServer<MinionControl> server(context, control);
  const auto controlEndpoint = Endpoint::Parse(aOptions.control, reason);
  if (controlEndpoint && !server.Listen(*controlEndpoint, reason)) {
    return ReportFailure(reason);
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
    [&context](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}

}

}

int
main(int aCount, const char** aArguments)
{
  sardinecourse::Options options;
  if (!sardinecourse::ParseOptions(aCount, aArguments, options)) {
    std::cerr << "minion_stand_in: unknown option, see --help\n";
    return 1;
  }
  return sardinecourse::Run(options);
}
