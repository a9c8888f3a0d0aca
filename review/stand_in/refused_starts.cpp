#include "review/stand_in/cases.h"
#include "review/stand_in/words.h"

#include <array>
#include <cstdio>

namespace review {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr const char* kLargeJob = "8a37cf544687ee2b";
/** 7 of 48 minions are unhealthy: 0.146, under the share of 0.15. */
constexpr int kUnhealthy = 7;
constexpr std::int64_t kUnhealthyMs = 6500;
constexpr int kWaitingJobs = 10;
constexpr std::int64_t kLargeWorkMs = 40'000;
constexpr std::int64_t kWorkMs = 2500;
constexpr std::int64_t kFillTimeoutMs = 8000;
/** visible_ms of the small site, and 2 s more. */
constexpr std::int64_t kVisibleMs = 5000;
constexpr std::int64_t kMarginMs = 200;
constexpr std::int64_t kLookMs = 50;

std::string
WaitingJob(int aNumber)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "5c0e7a21d95b%04x", aNumber);
  return text.data();
}

}

Verdict
RefusedStarts(Record& aRecord, bool aIsTrouble)
{
  const Site::Shape shape;
  Scenario scenario(shape, 3, aRecord);
  if (!scenario.Begin()) {
    return Verdict::kNotRun;
  }
  Site& platform = scenario.Platform();
  scenario.SetWork(kLargeJob, Work{ kLargeWorkMs, "done" });
  const int filled = shape.minions - kUnhealthy;
  const int status = scenario.Submit(0,
                                     UrgentPath(kLargeJob),
                                     JobBody({ { "Count", filled },
                                               { "Cpu", 7500 },
                                               { "MemMb", 15'000 },
                                               { "Gpu", 8 },
                                               { Word("estimate"), 40'000 } }));
  const std::int64_t fillEndMs = scenario.NowMs() + kFillTimeoutMs;
  while (status == kOk && scenario.NowMs() < fillEndMs &&
         platform.RunningOf(kLargeJob) < static_cast<std::size_t>(filled)) {
    Scenario::SleepMs(kLookMs);
  }
  const std::vector<std::string> idle = platform.IdleMinions();
  if (idle.size() != kUnhealthy) {
    scenario.Note("the large job did not leave " + std::to_string(kUnhealthy) +
                  " minions");
    return Verdict::kNotRun;
  }
  if (aIsTrouble) {
    platform.RefuseStarts(idle, kUnavailable);
    scenario.Note(std::to_string(kUnhealthy) +
                  " minions refuse starts from now on");
  }
  const std::int64_t unhealthySinceMs = scenario.NowMs();
  for (int number = 0; number < kWaitingJobs; ++number) {
    const std::string job = WaitingJob(number);
    scenario.SetWork(job, Work{ kWorkMs, "done" });
    if (scenario.Submit(static_cast<std::size_t>(number) % 3,
                        UsualPath(job),
                        UrgentBody(1)) != kOk) {
      return Verdict::kNotRun;
    }
  }
  Scenario::SleepUntil(aRecord, scenario.NowMs() + kVisibleMs + kMarginMs);
  std::size_t waiting = 0;
  for (int number = 0; number < kWaitingJobs; ++number) {
    waiting += platform.StartsOf(WaitingJob(number)) == 0 ? 1 : 0;
  }
  std::size_t wrong = 0;
  for (std::size_t host = 0; host < scenario.Daemons().Hosts(); ++host) {
    const ClientAnswer answer = scenario.Get(host, UsualPath(""));
    const std::int64_t pending =
      answer.body.is_object() ? answer.body.value("Pending", std::int64_t{ -1 })
                              : -1;
    const bool isWrong =
      answer.status == kOk && 2 * pending < static_cast<std::int64_t>(waiting);
    wrong += isWrong ? 1 : 0;
  }
  // A job may have begun while the hosts were asked.
  std::size_t stillWaiting = 0;
  for (int number = 0; number < kWaitingJobs; ++number) {
    stillWaiting += platform.StartsOf(WaitingJob(number)) == 0 ? 1 : 0;
  }
  scenario.Note("jobs accepted over " + std::to_string(kVisibleMs) +
                " ms before and not begun: " + std::to_string(stillWaiting) +
                ", hosts that gave under half of them as waiting: " +
                std::to_string(wrong));
  Scenario::SleepUntil(aRecord, unhealthySinceMs + kUnhealthyMs);
  platform.RefuseStarts(idle, 0);
  scenario.Note("all minions accept starts");
  Scenario::SleepMs(kWorkMs + kWorkMs);
  return wrong > 0 && stillWaiting == waiting ? Verdict::kBroken
                                              : Verdict::kHeld;
}

}
