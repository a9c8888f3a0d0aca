#include "review/cases_2/case_site.h"
#include "review/cases_2/memory_guard.h"

#include <chrono>
#include <string>
#include <vector>

/**
 * Timed jobs arrive at the usual rate of the small site; none is due yet. With
 * the disruption each of them repeats 15,000 times, without it 6 times. Small
 * jobs follow. As the platform does, the case kills a process whose memory
 * exceeds the limit, and starts it again.
 */
namespace {

using nlohmann::json;
using namespace sardinecourse;
using namespace sardinecourse::review;

constexpr int kHosts = 3;
constexpr int kWorkers = 6;
constexpr int kTimedJobs = 100;
constexpr int kManyRepeats = 15'000;
constexpr int kFewRepeats = 6;
constexpr int kSmallJobs = 8;
constexpr std::int64_t kWorkMs = 500;
constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kMinutesAhead = 60;
constexpr Milliseconds kJobInterval{ 320 };
constexpr Milliseconds kLookInterval{ 200 };
/** finish_s: after it, jobs are asked for. */
constexpr Milliseconds kFinish{ 14'000 };
/** A job may have nothing running for this long. */
constexpr Milliseconds kIdleLimit{ 3000 };

std::string
KeyOf(char aKind, int aNumber)
{
  std::string digits = std::to_string(aNumber);
  return aKind + std::string(15 - digits.size(), '0') + digits;
}

json
JobOf(int aRepeats)
{
  const json step = { { "Count", 1 }, { "Cpu", 1000 }, { "MemMb", 100 } };
  json job = { { "Spec", "quote" }, { "Steps", { step } } };
  if (aRepeats > 0) {
    const auto now = std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
    job["Repeats"] = aRepeats;
    job["FirstMs"] = now.count() + kMinutesAhead * kMinuteMs;
    job["IntervalMs"] = kMinuteMs;
  }
  return job;
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
  const int repeats = HasTrouble() ? kManyRepeats : kFewRepeats;
  int timed = 0;
  for (int number = 0; number < kTimedJobs; ++number) {
    const bool isAccepted =
      site.Submit(number % kHosts, KeyOf('a', number), JobOf(repeats));
    timed += isAccepted ? 1 : 0;
    guard.RunFor(kJobInterval);
  }
  std::vector<std::string> accepted;
  for (int number = 0; number < kSmallJobs; ++number) {
    const std::string job = KeyOf('b', number);
    site.SetWork(job, 1, kWorkMs);
    if (site.Submit(number % kHosts, job, JobOf(0))) {
      accepted.push_back(job);
    }
    guard.RunFor(kJobInterval);
  }
  guard.RunFor(kFinish);
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
    std::to_string(timed) + " timed jobs and " +
    std::to_string(accepted.size()) + " small jobs were accepted, " +
    std::to_string(idle.size()) +
    " small jobs had nothing running for 3 s, 14 s after the end of the "
    "traffic; processes killed for their memory:" +
    guard.Text();
  return site.Finish(!idle.empty(), verdict);
}
