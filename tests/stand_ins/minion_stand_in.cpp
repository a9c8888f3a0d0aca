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

/** Settings of the process, from its command line. */
struct Options
{
  std::string listen = "127.0.0.1:7001";
  const char* control = "";
  const char* prefix = "m";
  /** Number in the first one's name. */
  int first = 1;
  int count = 1;
  int slots = 8;
  int connections = 64;
  int serviceUs = 0;
  int unrecorded = 0;
};

bool
Parse(int aCount, const char** aArguments, Options& aOptions)
{
  const poptOption table[] = {
    { "control", 0, POPT_ARG_STRING, &aOptions.control, 0, "IP:PORT", nullptr },
    { "prefix", 0, POPT_ARG_STRING, &aOptions.prefix, 0, "of names", nullptr },
    { "first", 0, POPT_ARG_INT, &aOptions.first, 0, "number", nullptr },
    { "count", 0, POPT_ARG_INT, &aOptions.count, 0, "minions", nullptr },
    { "slots", 0, POPT_ARG_INT, &aOptions.slots, 0, "each", nullptr },
    { "connections", 0, POPT_ARG_INT, &aOptions.connections, 0, "", nullptr },
    { "service-us", 0, POPT_ARG_INT, &aOptions.serviceUs, 0, "", nullptr },
    { "unrecorded", 0, POPT_ARG_NONE, &aOptions.unrecorded, 0, "", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
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
Fail(const Reason& aReason)
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
    return Fail(reason);
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
    minions.back()->Record(aOptions.unrecorded == 0);
    if (!endpoint || !minions.back()->Listen(*endpoint, reason)) {
      return Fail(reason);
    }
  }
  MinionControl control(minions);
  HttpServer<MinionControl> server(context, control);
  const auto controlled = Endpoint::Parse(aOptions.control, reason);
  if (controlled && !server.Listen(*controlled, reason)) {
    return Fail(reason);
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
  if (!sardinecourse::Parse(aCount, aArguments, options)) {
    std::cerr << "minion_stand_in: unknown option, see --help\n";
    return 1;
  }
  return sardinecourse::Run(options);
}
