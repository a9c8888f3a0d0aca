#include "review/cases_2/case_site.h"

#include <thread>

/**
 * A job whose one task lasts until the job is cancelled. With the disruption,
 * the task ends by itself, as "done".
 */
namespace {

using nlohmann::json;
using namespace sardinecourse;
using namespace sardinecourse::review;

constexpr int kHosts = 3;
constexpr int kWorkers = 6;
constexpr const char* kJob = "00000000000000aa";
constexpr std::int64_t kShortWorkMs = 3000;
constexpr std::int64_t kLongWorkMs = 600'000;
constexpr Milliseconds kTick{ 200 };
constexpr Milliseconds kStartLimit{ 10'000 };
/** A task that lasts must run again this long after its last run. */
constexpr Milliseconds kRestartLimit{ 6000 };
/** A job may have nothing running for this long. */
constexpr Milliseconds kIdleLimit{ 3000 };

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
  site.SetWork(kJob, 1, HasTrouble() ? kShortWorkMs : kLongWorkMs);
  const json step = {
    { "Count", 1 }, { "Cpu", 1000 }, { "MemMb", 100 }, { "LongRunning", true }
  };
  const json job = { { "Spec", "service" }, { "Steps", { step } } };
  if (!site.Submit(0, kJob, job)) {
    return site.GiveUp("the job was not accepted");
  }
  const Instant startEnd = Clock::now() + kStartLimit;
  while (site.RunsOf(kJob) == 0) {
    if (Clock::now() >= startEnd) {
      return site.GiveUp("the task did not start");
    }
    std::this_thread::sleep_for(kTick);
  }
  std::this_thread::sleep_for(Milliseconds(kShortWorkMs) + kRestartLimit);
  bool isIdle = true;
  const Instant judgeEnd = Clock::now() + kIdleLimit;
  while (Clock::now() < judgeEnd) {
    isIdle = isIdle && site.RunsOf(kJob) == 0;
    std::this_thread::sleep_for(kTick);
  }
  const std::string verdict =
    std::string("from 6 s to 9 s after its last run the task ") +
    (isIdle ? "did not run" : "ran") +
    "; the job, which nobody cancelled, is " + site.StateOf(1, kJob);
  return site.Finish(isIdle, verdict);
}
