#include "review/stand_in/cases.h"
#include "review/stand_in/urgent_stream.h"
#include "review/stand_in/words.h"

namespace review {

namespace {

constexpr int kOk = 200;
constexpr const char* kJob = "8a37cf544687ee28";
constexpr int kTasks = 30;
/** A task that lasts fails this long after its start. */
constexpr std::int64_t kFailAfterMs = 300;
constexpr std::int64_t kLastingMs = 3'600'000;
constexpr int kUrgentJobs = 60;

}

Verdict
FailingLastingJob(Record& aRecord, bool aIsTrouble)
{
  const Site::Shape shape;
  Scenario scenario(shape, 3, aRecord);
  if (!scenario.Begin()) {
    return Verdict::kNotRun;
  }
  scenario.SetWork(kJob,
                   aIsTrouble ? Work{ kFailAfterMs, "failed" }
                              : Work{ kLastingMs, "done" });
  const nlohmann::json body = JobBody({ { "Count", kTasks },
                                        { "Cpu", 2000 },
                                        { "MemMb", 1024 },
                                        { Word("estimate"), 7000 },
                                        { "LongRunning", true } });
  scenario.Platform().RecordRuns(false);
  if (scenario.Submit(1, UsualPath(kJob), body) != kOk) {
    scenario.Note("the lasting job was not accepted");
    return Verdict::kNotRun;
  }
  UrgentStream urgent(scenario);
  urgent.Send(kUrgentJobs);
  const std::size_t forgotten = urgent.CountForgotten(shape);
  scenario.Note("starts of the lasting job: " +
                std::to_string(scenario.Platform().StartsOf(kJob)) +
                ", the last one at " +
                std::to_string(scenario.Platform().LastStartMs(kJob)) + " ms");
  scenario.Note("transactions that the store refused: " +
                std::to_string(scenario.Platform().StoreRefusals()));
  scenario.Note("accepted urgent jobs that nothing works on: " +
                std::to_string(forgotten));
  return forgotten > 0 ? Verdict::kBroken : Verdict::kHeld;
}

}
