#include "review/stand_in/cases.h"
#include "review/stand_in/words.h"

namespace review {

namespace {

constexpr int kOk = 200;
constexpr const char* kJob = "8a37cf544687ee29";
constexpr int kTasks = 2;
constexpr std::int64_t kEndAfterMs = 4000;
constexpr std::int64_t kLastingMs = 3'600'000;
/** Time after its last run from which a task that lasts has to run again. */
constexpr std::int64_t kRestartMs = 6000;
constexpr std::int64_t kWatchMs = 3000;
constexpr std::int64_t kWatchTimeMs = 25'000;
constexpr std::int64_t kLookMs = 100;

}

Verdict
EndedLastingTask(Record& aRecord, bool aIsTrouble)
{
  const Site::Shape shape;
  Scenario scenario(shape, 3, aRecord);
  if (!scenario.Begin()) {
    return Verdict::kNotRun;
  }
  scenario.SetWork(kJob, Work{ aIsTrouble ? kEndAfterMs : kLastingMs, "done" });
  const nlohmann::json body = JobBody({ { "Count", kTasks },
                                        { "Cpu", 2000 },
                                        { "MemMb", 1024 },
                                        { Word("estimate"), 7000 },
                                        { "LongRunning", true } });
  if (scenario.Submit(1, UsualPath(kJob), body) != kOk) {
    scenario.Note("the lasting job was not accepted");
    return Verdict::kNotRun;
  }
  Site& platform = scenario.Platform();
  const std::int64_t endMs = scenario.NowMs() + kWatchTimeMs;
  std::int64_t idleSinceMs = scenario.NowMs();
  bool isForgotten = false;
  while (scenario.NowMs() < endMs && !isForgotten) {
    if (platform.RunningOf(kJob) > 0) {
      idleSinceMs = scenario.NowMs();
    }
    isForgotten = scenario.NowMs() >= idleSinceMs + kRestartMs + kWatchMs;
    Scenario::SleepMs(kLookMs);
  }
  const std::string state = scenario.Get(2, UsualPath(kJob)).State();
  scenario.Note("nobody cancelled the job; its state is " + state + ", " +
                std::to_string(platform.StartsOf(kJob)) + " starts, " +
                std::to_string(platform.RunningOf(kJob)) + " of its tasks run");
  return isForgotten ? Verdict::kBroken : Verdict::kHeld;
}

}
