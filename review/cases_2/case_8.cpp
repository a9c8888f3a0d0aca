#include "review/cases_2/case_site.h"

#include <map>
#include <thread>

/**
 * A job of many tasks that write checkpoints runs on one minion. With the
 * disruption, this minion crashes and starts again; the others stay idle, with
 * room for the whole job.
 */
namespace {

using nlohmann::json;
using namespace sardinecourse;
using namespace sardinecourse::review;

constexpr int kHosts = 3;
constexpr int kWorkers = 6;
constexpr int kTasks = 800;
constexpr std::int64_t kWorkMs = 10'000;
constexpr std::int64_t kSmallWorkMs = 500;
constexpr const char* kJob = "00000000000000aa";
constexpr Milliseconds kTick{ 200 };
constexpr Milliseconds kStartLimit{ 25'000 };
/** Work before the crash, so that each task has reported a checkpoint. */
constexpr Milliseconds kWorkBefore{ 3000 };
/** finish_s: after it, jobs are asked for. */
constexpr Milliseconds kFinish{ 14'000 };
/** A job may have nothing running for this long. */
constexpr Milliseconds kIdleLimit{ 3000 };

json
JobOf(int aCount, bool aIsCheckpointing)
{
  const json step = { { "Count", aCount },
                      { "Cpu", 50 },
                      { "MemMb", 10 },
                      { "Checkpointing", aIsCheckpointing } };
  return { { "Spec", "render" }, { "Steps", { step } } };
}

/** Number of the job's tasks on each minion. */
std::map<std::string, int>
Placement(CaseSite& aSite)
{
  std::map<std::string, int> tasks;
  const json report = aSite.Control("report");
  for (const json& run : report.value("running", json::array())) {
    ++tasks[run.at(2).get<std::string>()];
  }
  return tasks;
}

}

int
main(int aCount, const char** aArguments)
{
  if (aCount != 2) {
    return kNotRun;
  }
  CaseSite site(aArguments[1], "checkpoint_site", kHosts, kWorkers);
  if (!site.WaitUntilReady()) {
    return site.GiveUp("a host did not get ready");
  }
  site.SetWork(kJob, kTasks, kWorkMs);
  if (!site.Submit(0, kJob, JobOf(kTasks, true))) {
    return site.GiveUp("the job was not accepted");
  }
  const Instant startEnd = Clock::now() + kStartLimit;
  while (site.RunsOf(kJob) < kTasks && Clock::now() < startEnd) {
    std::this_thread::sleep_for(kTick);
  }
  std::this_thread::sleep_for(kWorkBefore);
  std::map<std::string, int> placement = Placement(site);
  for (const auto& [minion, tasks] : placement) {
    site.Record(minion + " runs " + std::to_string(tasks) + " tasks");
  }
  if (placement.size() != 1) {
    return site.GiveUp("the job does not run on one minion");
  }
  if (HasTrouble()) {
    site.Record("the minion crashes and starts again");
    site.Control("restart", { { "worker", placement.begin()->first } });
  }
  std::this_thread::sleep_for(kFinish);
  // Another job shows that the system and the minions work.
  const std::string other = "00000000000000bb";
  site.SetWork(other, 1, kSmallWorkMs);
  site.Submit(1, other, JobOf(1, false));
  bool isIdle = true;
  bool isCompleted = false;
  const Instant judgeEnd = Clock::now() + kIdleLimit;
  while (Clock::now() < judgeEnd) {
    isIdle = isIdle && site.RunsOf(kJob) == 0;
    isCompleted = isCompleted || site.StateOf(2, kJob) == "completed";
    std::this_thread::sleep_for(kTick);
  }
  const std::string verdict =
    "the job is " + site.StateOf(0, kJob) + ", " +
    (isIdle ? "nothing of it" : "some of it") +
    " ran in the last 3 s; a small job that came later is " +
    site.StateOf(0, other);
  return site.Finish(isIdle && !isCompleted, verdict);
}
