#include "review/stand_in/cases.h"
#include "review/stand_in/urgent_stream.h"
#include "review/stand_in/words.h"

#include <chrono>

namespace review {

namespace {

constexpr int kOk = 200;
constexpr const char* kJob = "8a37cf544687ee27";
/** Largest width, repetitions and interval of batch work in the site file of
 * the grown deployment. */
constexpr int kWidth = 230;
constexpr int kRepeats = 4;
constexpr std::int64_t kIntervalMs = 2000;
constexpr std::int64_t kWorkMs = 7600;
constexpr std::int64_t kFirstDelayMs = 1000;
constexpr int kUrgentJobs = 40;
/** Minions of the grown deployment. */
constexpr int kMinions = 350;

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

}

Verdict
PoisonJob(Record& aRecord, bool aIsTrouble)
{
  Site::Shape shape;
  shape.minions = kMinions;
  shape.minionsPerRack = 12;
  Scenario scenario(shape, 3, aRecord);
  if (!scenario.Begin()) {
    return Verdict::kNotRun;
  }
  scenario.SetWork(kJob, Work{ kWorkMs, aIsTrouble ? "failed" : "done" });
  nlohmann::json body = JobBody({ { "Count", kWidth },
                                  { "Cpu", 5600 },
                                  { "MemMb", 8200 },
                                  { "Gpu", 1 },
                                  { Word("estimate"), kWorkMs } });
  body["Repeats"] = kRepeats;
  body["FirstMs"] = UnixMs() + kFirstDelayMs;
  body["IntervalMs"] = kIntervalMs;
  scenario.Platform().RecordRuns(false);
  if (scenario.Submit(1, BatchPath(kJob), body) != kOk) {
    scenario.Note("the batch job was not accepted");
    return Verdict::kNotRun;
  }
  UrgentStream urgent(scenario);
  urgent.Send(kUrgentJobs);
  const std::size_t forgotten = urgent.CountForgotten(shape);
  scenario.Note("starts of the batch job: " +
                std::to_string(scenario.Platform().StartsOf(kJob)) +
                ", the last one at " +
                std::to_string(scenario.Platform().LastStartMs(kJob)) +
                " ms; its state: " + scenario.Get(0, BatchPath(kJob)).State());
  scenario.Note("transactions that the store refused: " +
                std::to_string(scenario.Platform().StoreRefusals()));
  scenario.Note("accepted urgent jobs that nothing works on: " +
                std::to_string(forgotten));
  return forgotten > 0 ? Verdict::kBroken : Verdict::kHeld;
}

}
