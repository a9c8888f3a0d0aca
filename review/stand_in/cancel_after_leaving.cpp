#include "review/stand_in/cases.h"
#include "review/stand_in/words.h"

namespace review {

namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr const char* kJob = "8a37cf544687ee2a";
/** A call of the slow store takes 60 times its 4 ms, a transaction also 60
 * times its 6 ms. */
constexpr std::int64_t kSlowReadMs = 240;
constexpr std::int64_t kSlowCommitMs = 600;
constexpr std::int64_t kUsualReadMs = 4;
constexpr std::int64_t kUsualCommitMs = 10;
constexpr std::int64_t kSlowMs = 4500;
constexpr std::int64_t kBeforeMs = 1000;
/** Half of the objective of the queue. */
constexpr std::int64_t kClientLeavesMs = 125;
constexpr std::int64_t kDeadlineMs = 3000;
constexpr std::int64_t kWorkMs = 8000;
/** cancel_ms of the small site. */
constexpr std::int64_t kCancelMs = 3000;
constexpr std::int64_t kWatchMs = 30'000;

}

Verdict
CancelAfterLeaving(Record& aRecord, bool aIsTrouble)
{
  const Site::Shape shape;
  Scenario scenario(shape, 3, aRecord);
  if (!scenario.Begin()) {
    return Verdict::kNotRun;
  }
  Site& platform = scenario.Platform();
  scenario.SetWork(kJob, Work{ kWorkMs, "done" });
  nlohmann::json body = UrgentBody(2);
  nlohmann::json second = body["Steps"][0];
  second[Word("after")] = { 0 };
  body["Steps"].push_back(second);
  if (aIsTrouble) {
    scenario.Note("the store is slow from now on");
    platform.SetStoreTimes(kSlowReadMs, kSlowCommitMs);
  }
  const std::int64_t slowSinceMs = scenario.NowMs();
  Scenario::SleepMs(kBeforeMs);
  ClientCall submit;
  submit.method = "POST";
  submit.path = UrgentPath(kJob);
  submit.key = Scenario::kKey;
  submit.body = body.dump();
  submit.waitMs = kClientLeavesMs;
  submit.deadlineMs = kDeadlineMs;
  const int accepted = scenario.Daemons().Send(0, submit).status;
  const int cancelled = scenario.Cancel(1, UrgentPath(kJob)).status;
  const std::int64_t cancelledMs = scenario.NowMs();
  scenario.Note("the hand-in got " + std::to_string(accepted) +
                ", the cancel got " + std::to_string(cancelled));
  Scenario::SleepUntil(aRecord, slowSinceMs + kSlowMs);
  platform.SetStoreTimes(kUsualReadMs, kUsualCommitMs);
  scenario.Note("the store is as fast as usual");
  if (cancelled != kOk && cancelled != kGone) {
    return Verdict::kNotRun;
  }
  Scenario::SleepUntil(aRecord, cancelledMs + kWatchMs);
  const std::int64_t lastMs = platform.LastStartMs(kJob);
  const bool isStartedLate = lastMs > cancelledMs + kCancelMs;
  scenario.Note(
    "starts of the job: " + std::to_string(platform.StartsOf(kJob)) +
    ", the last one " + std::to_string(lastMs - cancelledMs) +
    " ms after the cancel was answered");
  scenario.Get(2, UrgentPath(kJob));
  return isStartedLate ? Verdict::kBroken : Verdict::kHeld;
}

}
