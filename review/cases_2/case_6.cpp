#include "review/cases_2/case_site.h"
#include "review/cases_2/memory_guard.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

/**
 * Jobs arrive at a steady rate. With the disruption, one more job comes that
 * can never be done: its steps have more tasks and repetitions than any fleet
 * can run. As the platform does, the case kills a process whose memory exceeds
 * the limit, and starts it again.
 */
namespace {

using nlohmann::json;
using namespace sardinecourse;
using namespace sardinecourse::review;

constexpr int kHosts = 3;
constexpr int kWorkers = 6;
constexpr std::int64_t kWorkMs = 500;
constexpr Milliseconds kJobInterval{ 500 };
constexpr Milliseconds kLookInterval{ 200 };
constexpr Milliseconds kTroubleAt{ 3000 };
constexpr Milliseconds kTraffic{ 10'000 };
/** finish_s: after it, jobs are asked for. */
constexpr Milliseconds kFinish{ 14'000 };
/** A job may have nothing running for this long. */
constexpr Milliseconds kIdleLimit{ 3000 };

json
SmallJob()
{
  const json step = { { "Count", 1 }, { "Cpu", 1000 }, { "MemMb", 100 } };
  return { { "Spec", "small" }, { "Steps", { step } } };
}

json
HopelessJob()
{
  constexpr std::int32_t kMost = std::numeric_limits<std::int32_t>::max();
  const json step = { { "Count", kMost }, { "Cpu", 1000 }, { "MemMb", 100 } };
  return { { "Spec", "hopeless" },
           { "Repeats", kMost },
           { "FirstMs", 0 },
           { "IntervalMs", 1000 },
           { "Steps", { step, step, step, step } } };
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
  MemoryGuard guard(site);
  guard.RunFor(kTroubleAt);
  std::vector<std::string> accepted;
  const Instant trafficEnd = Clock::now() + kTraffic;
  bool isHopelessDue = HasTrouble();
  for (int number = 0; Clock::now() < trafficEnd; ++number) {
    const std::string job = "00000000000000" + std::to_string(10 + number);
    site.SetWork(job, 1, kWorkMs);
    if (site.Submit(number % kHosts, job, SmallJob(), 1)) {
      accepted.push_back(job);
    }
    guard.RunFor(kJobInterval);
    if (Clock::now() + kTraffic >= trafficEnd + kTroubleAt && isHopelessDue) {
      isHopelessDue = false;
      site.Submit(1, "ffffffffffffffff", HopelessJob());
    }
  }
  guard.RunFor(kFinish);
  // A job that isn't completed must not have nothing running for so long: the
  // minions are idle, and each job is one task.
  std::vector<std::string> idle;
  for (const std::string& job : accepted) {
    if (site.StateOf(0, job) != "completed") {
      idle.push_back(job);
    }
  }
  const Instant judgeEnd = Clock::now() + kIdleLimit;
  while (Clock::now() < judgeEnd && !idle.empty()) {
    guard.RunFor(kLookInterval);
    std::erase_if(
      idle, [&site](const std::string& aJob) { return site.RunsOf(aJob) > 0; });
  }
  std::erase_if(idle, [&site](const std::string& aJob) {
    return site.StateOf(0, aJob) == "completed";
  });
  const std::string verdict =
    std::to_string(accepted.size()) + " small jobs were accepted, " +
    std::to_string(idle.size()) +
    " of them had nothing running for 3 s, 14 s after the end of the traffic; "
    "processes killed for their memory:" +
    guard.Text();
  return site.Finish(!idle.empty(), verdict);
}
