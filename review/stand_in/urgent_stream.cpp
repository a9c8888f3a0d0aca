#include "review/stand_in/urgent_stream.h"

#include <algorithm>

#include <array>
#include <cstdio>

namespace review {

namespace {

constexpr int kOk = 200;
constexpr int kTasks = 3;
constexpr std::int64_t kWorkMs = 2500;
constexpr std::int64_t kIntervalMs = 1000;
/** finish_s of the small site. */
constexpr std::int64_t kFinishMs = 14'000;
constexpr std::int64_t kWatchMs = 3000;
constexpr std::int64_t kLookMs = 100;

std::string
JobId(std::size_t aNumber)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "5c0e7a21d94b%04zx", aNumber);
  return text.data();
}

}

void
UrgentStream::Send(int aJobs)
{
  for (int number = 0; number < aJobs; ++number) {
    const std::int64_t startedMs = this->scenario->NowMs();
    Job job;
    job.id = JobId(this->jobs.size() + 1);
    this->scenario->SetWork(job.id, Work{ kWorkMs, "done" });
    const std::size_t host =
      static_cast<std::size_t>(number) % this->scenario->Daemons().Hosts();
    job.isAccepted = this->scenario->Submit(
                       host, UrgentPath(job.id), UrgentBody(kTasks)) == kOk;
    this->jobs.push_back(job);
    const std::int64_t tookMs = this->scenario->NowMs() - startedMs;
    Scenario::SleepMs(std::max<std::int64_t>(0, kIntervalMs - tookMs));
  }
}

std::size_t
UrgentStream::CountForgotten(const Site::Shape& aShape)
{
  this->scenario->Note("the traffic has ended");
  Scenario::SleepMs(kFinishMs);
  Site& platform = this->scenario->Platform();
  std::vector<const Job*> waiting;
  for (const Job& job : this->jobs) {
    if (job.isAccepted && platform.RunningOf(job.id) == 0 &&
        this->scenario->Get(0, UrgentPath(job.id)).State() != "completed") {
      waiting.push_back(&job);
    }
  }
  const std::size_t half =
    static_cast<std::size_t>(aShape.minions * aShape.accelerators / 2);
  const std::int64_t untilMs = this->scenario->NowMs() + kWatchMs;
  bool isRoomLeft = true;
  while (this->scenario->NowMs() < untilMs) {
    // Each running task uses at most one accelerator and its share of the rest.
    isRoomLeft = isRoomLeft && platform.Running() < half;
    std::erase_if(waiting, [&platform](const Job* aJob) {
      return platform.RunningOf(aJob->id) > 0;
    });
    Scenario::SleepMs(kLookMs);
  }
  std::size_t forgotten = 0;
  for (const Job* job : waiting) {
    if (isRoomLeft &&
        this->scenario->Get(0, UrgentPath(job->id)).State() != "completed") {
      ++forgotten;
      this->scenario->Note("job " + job->id + " was accepted, has " +
                           std::to_string(platform.StartsOf(job->id)) +
                           " starts and nothing running, and " +
                           std::to_string(platform.Running()) +
                           " tasks run on all minions");
    }
  }
  return forgotten;
}

}
