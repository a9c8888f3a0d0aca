#include "review/stand_in/cases.h"
#include "review/stand_in/words.h"

#include <array>
#include <cstdio>

namespace review {

namespace {

constexpr int kOk = 200;
constexpr int kJobs = 12;
constexpr int kTasks = 52;
constexpr std::int64_t kIntervalMs = 1000;
/** Time from the first hand-in until the first run ends; the runs end one after
 * the other within kEndsWithinMs. */
constexpr std::int64_t kFirstEndMs = 18'000;
constexpr std::int64_t kEndsWithinMs = 900;
/** The store is down from shortly before the first end. */
constexpr std::int64_t kDownBeforeMs = 100;
constexpr std::int64_t kDownMs = 1200;
constexpr std::int64_t kWatchMs = 20'000;

std::string
JobOf(int aNumber)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "5c0e7a21d96b%04x", aNumber);
  return text.data();
}

}

Verdict
UnlistedEnds(Record& aRecord, bool aIsTrouble)
{
  const Site::Shape shape;
  Scenario scenario(shape, 3, aRecord);
  if (!scenario.Begin()) {
    return Verdict::kNotRun;
  }
  Site& platform = scenario.Platform();
  const std::int64_t firstEndMs = scenario.NowMs() + kFirstEndMs;
  for (int number = 0; number < kJobs; ++number) {
    const std::int64_t handedInMs = scenario.NowMs();
    const std::string job = JobOf(number);
    scenario.SetEnds(job, firstEndMs, firstEndMs + kEndsWithinMs);
    const int status =
      scenario.Submit(static_cast<std::size_t>(number) % 3,
                      UsualPath(job),
                      JobBody({ { "Count", kTasks },
                                { "Cpu", 100 },
                                { "MemMb", 64 },
                                { Word("estimate"), 15'000 } }));
    if (status != kOk) {
      return Verdict::kNotRun;
    }
    Scenario::SleepUntil(aRecord, handedInMs + kIntervalMs);
  }
  Scenario::SleepUntil(aRecord, firstEndMs - kDownBeforeMs);
  if (platform.Running() < kJobs * static_cast<std::size_t>(kTasks)) {
    scenario.Note("not all tasks are at work");
    return Verdict::kNotRun;
  }
  if (aIsTrouble) {
    scenario.Note("the store is down");
    platform.SetStoreDown(true);
  }
  Scenario::SleepUntil(aRecord, firstEndMs - kDownBeforeMs + kDownMs);
  scenario.Note("the store is up");
  platform.SetStoreDown(false);
  Scenario::SleepMs(kWatchMs);
  scenario.Get(0, UsualPath(JobOf(0)));
  const std::size_t again = platform.StartsAfterDone();
  scenario.Note("starts of a task after one of its runs had ended as done, "
                "which was taken note of: " +
                std::to_string(again));
  return again > 0 ? Verdict::kBroken : Verdict::kHeld;
}

}
