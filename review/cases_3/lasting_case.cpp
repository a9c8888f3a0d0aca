#include "client.h"
#include "site.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

using nlohmann::json;
using namespace review;

namespace {

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;
constexpr int kWorkers = 6;
constexpr int kAccelerators = 8;
constexpr int kJobMs = 600000;
constexpr std::int64_t kSampleMs = 10;
constexpr std::int64_t kDrainMs = 2000;
constexpr std::int64_t kRestartMs = 1000;
/** The rule: from 6 s after its last run, for 3 s; these 3 s and the 4 s before
 * them are calm. */
constexpr std::int64_t kAfterRunMs = 6000;
constexpr std::int64_t kIdleMs = 3000;
constexpr std::int64_t kCalmMs = 4000;
constexpr std::int64_t kWatchMs = 20000;

/** The worker that has a run of a task; -1 if none has. */
int
FindRun(std::vector<std::unique_ptr<Worker>>& aWorkers,
        const std::string& aTask)
{
  for (std::size_t number = 0; number < aWorkers.size(); ++number) {
    if (aWorkers[number]->Runs().contains(aTask)) {
      return static_cast<int>(number);
    }
  }
  return -1;
}

int
RunCase(const std::string& aFolder, const std::string& aRecordPath)
{
  const char* trouble = std::getenv("TROUBLE");
  const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
  // Their threads run until the process ends.
  static Record record(aRecordPath);
  static Store store("127.0.0.2", record);
  static std::vector<std::unique_ptr<Worker>> workers;
  for (int number = 1; number <= kWorkers; ++number) {
    const std::string digit = std::to_string(number);
    workers.push_back(std::make_unique<Worker>(
      "i-000000000" + digit, "127.0.0.2" + digit, record));
  }
  store.Put("op", "config", Configuration());
  for (const auto& worker : workers) {
    store.Put("servers", worker->Id(), worker->Entry(kAccelerators, "zone-a"));
  }
  std::vector<std::unique_ptr<Daemon>> hosts;
  for (const char* ip : { "127.0.0.11", "127.0.0.12", "127.0.0.13" }) {
    const std::string name = "front-" + std::to_string(hosts.size() + 1);
    hosts.push_back(
      std::make_unique<Daemon>(name, ip, store.Listen(), aFolder));
    hosts.back()->Start();
  }
  for (const auto& host : hosts) {
    if (!host->WaitUntilReady(15000)) {
      record.Add(host->Name() + " is not ready");
      return kExitNotRun;
    }
  }
  SleepMs(4000); // The first holder is elected and polls the workers.

  Client client(record);
  const std::string task = JobId(0) + ".0.0.0";
  if (!client.Submit(*hosts[0], JobId(0), kJobMs, 1, true)) {
    return kExitNotRun;
  }
  SleepMs(8000);
  const int first = FindRun(workers, task);
  Daemon* holder = nullptr;
  for (const auto& host : hosts) {
    if (host->LastTakeoverMs() > 0) {
      holder = host.get();
    }
  }
  if (first < 0 || holder == nullptr) {
    record.Add("the task doesn't run, or no host holds the domain");
    return kExitNotRun;
  }

  // The worker is taken away as planned.
  Worker& worker = *workers[first];
  worker.Drain(kDrainMs);
  store.Put("servers", worker.Id(), worker.Entry(kAccelerators, "zone-a"));
  SleepMs(kDrainMs);
  worker.Leave();
  store.Remove("servers", worker.Id());
  const std::int64_t lastRun = NowMs();
  std::int64_t disturbedUntil = lastRun;
  if (isTroubled) {
    holder->Signal(SIGKILL);
    record.Add(holder->Name() + ", which holds the domain, is killed");
    SleepMs(kRestartMs);
    holder->Start();
    record.Add(holder->Name() + " is started again");
    disturbedUntil = NowMs();
  }
  while (NowMs() < lastRun + kWatchMs && FindRun(workers, task) < 0) {
    SleepMs(kSampleMs);
  }
  const std::int64_t back = NowMs();
  record.Add("the task had no run for " + std::to_string(back - lastRun) +
             " ms");
  const std::int64_t bound =
    std::max(lastRun + kAfterRunMs, disturbedUntil + kCalmMs) + kIdleMs;
  if (back > bound) {
    record.Add("LOST: " + std::to_string(back - bound) +
               " ms longer than the rule allows");
  }
  return back > bound ? kExitBroken : kExitHeld;
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: lasting_case FOLDER RECORD\n";
    return kExitNotRun;
  }
  int exitCode = kExitNotRun;
  try {
    exitCode = RunCase(aArguments[1], aArguments[2]);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
  }
  // The servers' threads still use static objects.
  std::_Exit(exitCode);
}
