#include "client.h"
#include "site.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

using nlohmann::json;
using namespace review;

namespace {

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;
constexpr std::int64_t kSampleMs = 10;
constexpr int kAccelerators = 8;
constexpr int kOtherJobMs = 4000;
constexpr int kJobMs = 30000;
/** The first cut, behind which the worker crashes and starts again. */
constexpr std::int64_t kCrashAfterMs = 100;
constexpr std::int64_t kFirstCutMs = 900;
constexpr std::int64_t kCalmMs = 1000;
/** One of them is 17% of the workers. */
constexpr int kWorkers = 6;
/** The second cut; the worker runs on behind it. */
constexpr std::int64_t kSecondCutMs = 9000;

/** Waits until a worker has a run of a task; the worker's number, or -1. */
int
WaitForRun(std::vector<std::unique_ptr<Worker>>& aWorkers,
           const std::string& aTask,
           std::int64_t aTimeoutMs)
{
  const std::int64_t until = NowMs() + aTimeoutMs;
  while (NowMs() < until) {
    for (std::size_t number = 0; number < aWorkers.size(); ++number) {
      if (aWorkers[number]->Runs().contains(aTask)) {
        return static_cast<int>(number);
      }
    }
    SleepMs(kSampleMs);
  }
  return -1;
}

/** Time in aTimeMs for which more than one worker has a run of a task. */
std::int64_t
WatchRuns(std::vector<std::unique_ptr<Worker>>& aWorkers,
          const std::string& aTask,
          std::int64_t aTimeMs,
          Record& aRecord)
{
  std::int64_t twiceMs = 0;
  std::int64_t last = NowMs();
  const std::int64_t until = last + aTimeMs;
  while (last < until) {
    int running = 0;
    for (const auto& worker : aWorkers) {
      running += worker->Runs().contains(aTask) ? 1 : 0;
    }
    SleepMs(kSampleMs);
    const std::int64_t now = NowMs();
    if (running > 1) {
      if (twiceMs == 0) {
        aRecord.Add("TWICE: two workers have a run of " + aTask);
      }
      twiceMs += now - last;
    }
    last = now;
  }
  return twiceMs;
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

  // The first jobs take a worker each, so the next one is sent to the last.
  Client client(record);
  std::vector<bool> areBusy(kWorkers, false);
  for (int job = 1; job < kWorkers; ++job) {
    if (!client.Submit(*hosts[0], JobId(job), kOtherJobMs, kAccelerators)) {
      return kExitNotRun;
    }
    const int busy = WaitForRun(workers, JobId(job) + ".0.0.0", 3000);
    if (busy < 0) {
      return kExitNotRun;
    }
    areBusy[busy] = true;
  }
  const auto idle =
    std::find(areBusy.begin(), areBusy.end(), false) - areBusy.begin();
  Worker& worker = *workers[idle];
  const std::string task = JobId(0) + ".0.0.0";
  const std::int64_t cutAt = NowMs();
  if (isTroubled) {
    worker.Cut(true);
    SleepMs(kCrashAfterMs);
    worker.Restart();
    store.Put("servers", worker.Id(), worker.Entry(kAccelerators, "zone-a"));
    SleepMs(kCrashAfterMs);
  }
  // The worker's process is up again when the start is ordered on it.
  if (!client.Submit(*hosts[1], JobId(0), kJobMs, kAccelerators / 2)) {
    return kExitNotRun;
  }
  if (isTroubled) {
    SleepMs(cutAt + kFirstCutMs - NowMs());
    if (worker.StartOrders() != 1) {
      record.Add("the start was not ordered behind the cut");
      return kExitNotRun;
    }
    worker.Cut(false);
  }
  if (WaitForRun(workers, task, 3000) != idle) {
    record.Add("the task was not started on the other worker");
    return kExitNotRun;
  }
  SleepMs(kCalmMs);
  if (isTroubled) {
    worker.Cut(true);
  }
  const std::int64_t twiceMs = WatchRuns(workers, task, kSecondCutMs, record);
  if (isTroubled) {
    worker.Cut(false);
  }
  record.Add("two workers had a run of " + task + " for " +
             std::to_string(twiceMs) + " ms");
  return twiceMs > 0 ? kExitBroken : kExitHeld;
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: lease_case FOLDER RECORD\n";
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
