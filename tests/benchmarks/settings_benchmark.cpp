#include "codecs/fleet_yaml.h"
#include "core/reason.h"
#include "zones/fleet.h"
#include "zones/settings_checks.h"

#include <benchmark/benchmark.h>
#include <sstream>

namespace sardinecourse {

namespace {

constexpr int kDataCentres = 5;
constexpr int kHostsEach = 8;
constexpr int kRacksEach = 25;
constexpr int kWorkersPerRack = 8;
constexpr int kWorkers = 970;
constexpr int kAccelerators = 2100;
constexpr int kMinionsEach = 48;
constexpr int kTeams = 91;

std::string
Address(int aNetwork, int aNumber)
{
  return "10." + std::to_string(aNetwork) + "." +
         std::to_string(aNumber / 200) + "." +
         std::to_string(aNumber % 200 + 1) + ":7000";
}

void
WriteRacks(std::ostream& aText,
           int aDataCentre,
           int& aWorker,
           int& aAcceleratorsLeft)
{
  aText << "    racks:\n";
  for (int rack = 0; rack < kRacksEach; ++rack) {
    aText << "      d" << aDataCentre << "r" << rack << ":\n        workers:\n";
    for (int count = 0; count < kWorkersPerRack && aWorker < kWorkers;
         ++count, ++aWorker) {
      const int accelerators =
        std::min(aAcceleratorsLeft, aWorker % 6 == 0 ? 8 : 1);
      aAcceleratorsLeft -= accelerators;
      aText << "          w" << aWorker << ": {address: " << Address(1, aWorker)
            << ", accelerators: " << accelerators
            << ", cores: 64, memory_mb: 131072}\n";
    }
  }
}

void
WriteTeams(std::ostream& aText)
{
  aText << "    teams:\n";
  for (int team = 0; team < kTeams; ++team) {
    aText << "      team" << team << ":\n        quota: 64\n"
          << "        guarantees:\n"
          << "          - {members: 1, accelerators_per_member: 1, count: 2}\n"
          << "        settings: {completion_weight: " << team << "}\n";
  }
}

/** Settings text of a fleet of the maximum size the scheduler is designed for.
 */
std::string
FullSizeSettings()
{
  std::ostringstream text;
  text << "name: full\ndata_centres:\n";
  int worker = 0;
  int acceleratorsLeft = kAccelerators;
  for (int number = 0; number < kDataCentres; ++number) {
    text << "  dc" << number << ":\n    region: r" << number % 2
         << "\n    entry_hosts:\n";
    for (int host = number * kHostsEach; host < (number + 1) * kHostsEach;
         ++host) {
      text << "      e" << host << ": {callers: " << Address(2, host)
           << ", peers: " << Address(3, host) << "}\n";
    }
    WriteRacks(text, number, worker, acceleratorsLeft);
    text << "    minions:\n";
    for (int minion = number * kMinionsEach;
         minion < (number + 1) * kMinionsEach;
         ++minion) {
      text << "      m" << minion
           << ": {service: fretdesk, address: " << Address(4, minion) << "}\n";
    }
    WriteTeams(text);
  }
  return text.str();
}

void
DecodeFullSize(benchmark::State& aState)
{
  const std::string text = FullSizeSettings();
  Reason reason;
  for (auto _ : aState) {
    const std::optional<Fleet> fleet = DecodeFleet(text, "fleet", 1, reason);
    if (!fleet) {
      aState.SkipWithError(reason.Message().c_str());
      return;
    }
    benchmark::DoNotOptimize(fleet);
  }
  aState.counters["text_bytes"] = static_cast<double>(text.size());
}

void
CheckFullSize(benchmark::State& aState)
{
  Reason reason;
  const std::optional<Fleet> fleet =
    DecodeFleet(FullSizeSettings(), "fleet", 1, reason);
  for (auto _ : aState) {
    if (!fleet || !GuaranteesFitEverywhere(*fleet, reason)) {
      aState.SkipWithError(reason.Message().c_str());
      return;
    }
  }
}

BENCHMARK(DecodeFullSize)->Unit(benchmark::kMillisecond);
BENCHMARK(CheckFullSize)->Unit(benchmark::kMillisecond);

}

}

BENCHMARK_MAIN();
