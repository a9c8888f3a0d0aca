#include "client.h"
#include "site.h"

#include <atomic>
#include <cstdlib>
#include <iostream>

using nlohmann::json;
using namespace review;

namespace {

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;
constexpr int kCallTimeoutMs = 3000;
constexpr std::int64_t kVisibleMs = 3000;
constexpr std::int64_t kContactMs = 3000;

/** Number of pending jobs in the row that a transaction writes; -1 if it writes
 * no such row. */
int
PendingWritten(const json& aTransaction)
{
  for (const json& row : aTransaction.value(Wire("set_keys"), json::array())) {
    if (row.value("Table", "") == "domain" &&
        row.value("Key", "") == "pending") {
      const json counts =
        json::parse(DecodeValue(row.value("Value", "")), nullptr, false);
      return counts.is_object() ? counts.value("q1", 0) : -1;
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
  static Worker worker("i-0000000001", "127.0.0.3", record);
  store.Put("op", "config", Configuration());
  store.Put("servers", worker.Id(), worker.Entry(8, "zone-a"));
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
  SleepMs(4000); // The first holder is elected and polls the worker.

  Client client(record);
  static std::atomic<int> lastStored{ 0 };
  static std::atomic<bool> isArmed{ false };
  static std::atomic<std::int64_t> lostAtMs{ 0 };
  store.SetFate([isTroubled](const json& aTransaction) {
    const int pending = PendingWritten(aTransaction);
    if (pending < 0) {
      return Store::Fate::kAnswered;
    }
    lastStored = pending;
    record.Add("store performs the write of Pending " +
               std::to_string(pending));
    if (isTroubled && isArmed && pending == 0 && lostAtMs == 0) {
      lostAtMs = NowMs();
      record.Add("store loses the answer to that write");
      return Store::Fate::kAnswerLost;
    }
    return Store::Fate::kAnswered;
  });

  // The first job takes the whole worker, so the next three wait.
  bool areAccepted = client.Submit(*hosts[0], JobId(0), 8000, 8);
  SleepMs(1500);
  for (int job = 1; job <= 3; ++job) {
    areAccepted =
      client.Submit(*hosts[job - 1], JobId(job), 60000, 2) && areAccepted;
  }
  for (int wait = 0; wait < 40 && lastStored != 3; ++wait) {
    SleepMs(100);
  }
  if (!areAccepted || lastStored != 3) {
    record.Add("the jobs were not accepted or not counted");
    return kExitNotRun;
  }
  // Once it ends, all three start and leave no room for three more.
  isArmed = true;
  for (int wait = 0; wait < 150 && lastStored != 0; ++wait) {
    SleepMs(100);
  }
  if (lastStored != 0) {
    record.Add("the waiting jobs were not started together");
    return kExitNotRun;
  }
  std::map<std::string, std::int64_t> acceptedAtMs;
  for (int job = 4; job <= 6; ++job) {
    if (!client.Submit(*hosts[job - 4], JobId(job), 20000, 3)) {
      return kExitNotRun;
    }
    acceptedAtMs[JobId(job)] = NowMs();
  }

  // Everything is calm from here on. The rule holds kContactMs after the
  // disruption for jobs accepted kVisibleMs + 2 s before.
  SleepMs(kCallTimeoutMs + kContactMs + kVisibleMs);
  int broken = 0;
  int asked = 0;
  for (int round = 0; round < 20; ++round) {
    const std::set<std::string> started = worker.StartedJobs();
    const std::int64_t waitingSince = NowMs() - kVisibleMs - 2000;
    int waiting = 0;
    for (const auto& [job, accepted] : acceptedAtMs) {
      waiting += accepted < waitingSince && !started.contains(job) ? 1 : 0;
    }
    for (const auto& host : hosts) {
      const int pending = client.Pending(*host);
      ++asked;
      if (pending >= 0 && 2 * pending < waiting) {
        ++broken;
        record.Add("MIXED: " + host->Name() + " gives " +
                   std::to_string(pending) + " pending jobs, but " +
                   std::to_string(waiting) + " wait");
      }
    }
    SleepMs(1000);
  }
  record.Add("MIXED was broken by " + std::to_string(broken) + " of " +
             std::to_string(asked) + " answers");
  return broken > 0 ? kExitBroken : kExitHeld;
}

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: pending_case FOLDER RECORD\n";
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
