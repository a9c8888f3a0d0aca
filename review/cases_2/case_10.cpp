#include "review/cases_2/case_site.h"

#include <fstream>
#include <map>
#include <set>
#include <thread>

/**
 * Tasks that last run beside other work. With the disruption, the minion on
 * which they run crashes and starts again at once, empty. A task that lasts
 * must not be without a run for 3 s, from 6 s after its last one, while there
 * is room for it twice over.
 */
namespace {

using nlohmann::json;
using namespace sardinecourse;
using namespace sardinecourse::review;

constexpr int kHosts = 3;
constexpr int kWorkers = 6;
/** Accelerators of a minion of the stand-in. */
constexpr int kAccelerators = 8;
/** Tasks of the jobs in lasting_job.json and other_job.json. */
constexpr int kLastingTasks = 8;
constexpr int kOtherTasks = 30;
constexpr std::int64_t kEndlessWorkMs = 600'000;
constexpr const char* kLasting = "00000000000000aa";
constexpr const char* kOther = "00000000000000bb";
constexpr Milliseconds kTick{ 100 };
constexpr Milliseconds kStartLimit{ 10'000 };
/** No disruption in this time before the crash, nor after it. */
constexpr Milliseconds kCalm{ 5000 };
/** The rule holds from this long after a task's last run. */
constexpr Milliseconds kRestartTime{ 6000 };
constexpr Milliseconds kIdleLimit{ 3000 };
constexpr Milliseconds kWatch{ 20'000 };

/** The body of a job, from a file beside this one. */
json
JobOf(bool aIsLasting)
{
  std::ifstream file(std::string("review/cases_2/") +
                     (aIsLasting ? "lasting_job.json" : "other_job.json"));
  return json::parse(file, nullptr, false);
}

struct Running
{
  std::set<std::string> lasting;
  std::set<std::string> minions;
  int total = 0;
};

Running
Look(CaseSite& aSite)
{
  Running running;
  const json report = aSite.Control("report");
  for (const json& run : report.value("running", json::array())) {
    const auto task = run.at(0).get<std::string>();
    ++running.total;
    if (task.starts_with(kLasting)) {
      running.lasting.insert(task);
      running.minions.insert(run.at(2).get<std::string>());
    }
  }
  return running;
}

bool
StartAndWait(CaseSite& aSite, const std::string& aPath, bool aIsLasting)
{
  const int count = aIsLasting ? kLastingTasks : kOtherTasks;
  const std::string job = aIsLasting ? kLasting : kOther;
  aSite.SetWork(job, count, kEndlessWorkMs);
  if (!aSite.Submit(0, aPath, JobOf(aIsLasting))) {
    return false;
  }
  const Instant end = Clock::now() + kStartLimit;
  while (aSite.RunsOf(job) < static_cast<std::size_t>(count)) {
    if (Clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kTick);
  }
  return true;
}

/** Watches the tasks after the crash; returns the number of those that were
 * without a run for too long while there was room for each twice over. */
int
CountIdle(CaseSite& aSite)
{
  const Instant crashedAt = Clock::now();
  std::map<std::string, Instant> lastSeen;
  for (int index = 0; index < kLastingTasks; ++index) {
    lastSeen[std::string(kLasting) + ".0.0." + std::to_string(index)] =
      crashedAt;
  }
  std::set<std::string> idle;
  std::size_t lastCount = kLastingTasks;
  while (Clock::now() < crashedAt + kWatch) {
    const Running running = Look(aSite);
    const Instant now = Clock::now();
    const int free = kWorkers * kAccelerators - running.total;
    for (auto& [task, seen] : lastSeen) {
      if (running.lasting.contains(task) || free < 2) {
        seen = now;
      } else if (now >= seen + kRestartTime + kIdleLimit) {
        idle.insert(task);
      }
    }
    if (running.lasting.size() != lastCount) {
      lastCount = running.lasting.size();
      aSite.Record(std::to_string(lastCount) +
                   " tasks that last are running, " + std::to_string(free) +
                   " accelerators are free");
    }
    std::this_thread::sleep_for(kTick);
  }
  return static_cast<int>(idle.size());
}

}

int
main(int aCount, const char** aArguments)
{
  if (aCount != 2) {
    return kNotRun;
  }
  CaseSite site(aArguments[1], "site_stand_in", kHosts, kWorkers);
  if (!site.WaitUntilReady()) {
    return site.GiveUp("a host did not get ready");
  }
  const std::string queue = "/two/";
  if (!StartAndWait(site, queue + kLasting, true) ||
      !StartAndWait(site, kOther, false)) {
    return site.GiveUp("the jobs did not start");
  }
  const Running before = Look(site);
  if (before.minions.size() != 1) {
    return site.GiveUp("the tasks that last do not run on one minion");
  }
  std::this_thread::sleep_for(kCalm);
  if (HasTrouble()) {
    site.Record("the minion crashes and starts again: " +
                *before.minions.begin());
    site.Control("restart", { { "worker", *before.minions.begin() } });
  }
  const int idle = CountIdle(site);
  return site.Finish(
    idle > 0,
    std::to_string(idle) +
      " tasks that last had no run from 6 s to 9 s after their last one, with "
      "room for each twice over");
}
