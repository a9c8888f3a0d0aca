#include "core/reason.h"
#include "tests/load/load_thread.h"

#include <iostream>
#include <popt.h>
#include <sstream>
#include <thread>

namespace sardinecourse {

namespace {

bool
ReadTargets(const char* aText, LoadOptions& aOptions)
{
  std::istringstream list(aText == nullptr ? "" : aText);
  std::string item;
  while (std::getline(list, item, ',')) {
    Reason reason;
    const auto endpoint = Endpoint::Parse(item, reason);
    if (!endpoint) {
      std::cerr << "load_generator: " << reason.Message() << '\n';
      return false;
    }
    aOptions.targets.push_back(*endpoint);
  }
  return !aOptions.targets.empty();
}

std::optional<LoadOptions>
ParseOptions(int aCount, const char** aArguments)
{
  LoadOptions options;
  const char* targets = nullptr;
  const char* method = "GET";
  const char* path = "/services/fretdesk/load";
  int keyed = 0;
  int seed = 1;
  const poptOption table[] = {
    { "targets", 0, POPT_ARG_STRING, &targets, 0, "IP:PORT,...", nullptr },
    { "method", 0, POPT_ARG_STRING, &method, 0, "", nullptr },
    { "path", 0, POPT_ARG_STRING, &path, 0, "", nullptr },
    { "rate", 0, POPT_ARG_DOUBLE, &options.rate, 0, "per second", nullptr },
    { "seconds", 0, POPT_ARG_DOUBLE, &options.seconds, 0, "", nullptr },
    { "connections", 0, POPT_ARG_INT, &options.connections, 0, "", nullptr },
    { "threads", 0, POPT_ARG_INT, &options.threads, 0, "", nullptr },
    { "deadline-ms", 0, POPT_ARG_INT, &options.deadlineMs, 0, "", nullptr },
    { "keyed", 0, POPT_ARG_NONE, &keyed, 0, "", nullptr },
    { "seed", 0, POPT_ARG_INT, &seed, 0, "", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("load_generator", aCount, aArguments, table, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1 || !ReadTargets(targets, options)) {
    return std::nullopt;
  }
  options.method = method;
  options.path = path;
  options.keyed = keyed != 0;
  options.seed = static_cast<std::uint64_t>(seed);
  return options;
}

void
RunLoad(const LoadOptions& aOptions)
{
  std::vector<std::unique_ptr<LoadThread>> loads;
  std::vector<std::thread> threads;
  const Instant start = Clock::now();
  for (int number = 0; number < aOptions.threads; ++number) {
    loads.push_back(std::make_unique<LoadThread>(aOptions, number));
    threads.emplace_back([load = loads.back().get()] { load->Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double> elapsed = Clock::now() - start;
  LoadReport report;
  for (const auto& load : loads) {
    report.Merge(load->Report());
  }
  std::cout << report.Json(elapsed.count()) << '\n';
}

}

}

int
main(int aCount, const char** aArguments)
{
  const auto options = sardinecourse::ParseOptions(aCount, aArguments);
  if (!options) {
    std::cerr
      << "load_generator: --targets IP:PORT,... is required; see --help\n";
    return 1;
  }
  sardinecourse::RunLoad(*options);
  return 0;
}
