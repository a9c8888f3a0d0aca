#include "tests/soak/soak_callers.h"

#include "tests/harness/site_deployment.h"

namespace sardinecourse::harness {

namespace {

constexpr int kCallers = 4;
constexpr int kMaxSubmits = 6;
constexpr Milliseconds kRetryPause{ 120 };
/** Pause between two jobs of a caller, long enough for the workers to keep
 * up. */
constexpr Milliseconds kJobPause{ 400 };
constexpr int kOk = 200;
constexpr int kNotRun = 503;
/** On average, one accepted job of this many is cancelled. */
constexpr unsigned kCancelEvery = 8;

}

SoakCallers::SoakCallers(SiteDeployment& aSite, unsigned aSeed)
  : site(&aSite)
  , seed(aSeed)
{
  for (int caller = 0; caller < kCallers; ++caller) {
    this->threads.emplace_back([this, caller] { this->Run(caller); });
  }
}

SoakCallers::~SoakCallers()
{
  this->Stop();
}

void
SoakCallers::Stop()
{
  this->isStopping = true;
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::vector<SoakJob>
SoakCallers::Jobs() const
{
  const std::lock_guard lock(this->mutex);
  return this->jobs;
}

void
SoakCallers::Run(int aCaller)
{
  std::mt19937 random(this->seed * kCallers + aCaller);
  for (int number = 0; !this->isStopping; ++number) {
    const std::string key =
      "c" + std::to_string(aCaller) + "j" + std::to_string(number);
    SoakJob job = this->SubmitJob(key, random);
    this->MaybeCancel(job, random);
    {
      const std::lock_guard lock(this->mutex);
      this->jobs.push_back(job);
    }
    std::this_thread::sleep_for(kJobPause);
  }
}

SoakJob
SoakCallers::SubmitJob(const std::string& aKey, std::mt19937& aRandom) const
{
  constexpr unsigned kMaxMembers = 3;
  constexpr unsigned kMaxWorkMs = 1500;
  const int members = static_cast<int>(1 + aRandom() % kMaxMembers);
  const int workMs = static_cast<int>(100 + aRandom() % kMaxWorkMs);
  SoakJob job;
  job.key = aKey;
  job.outcome = SoakJob::Outcome::kRefused;
  for (int attempt = 0; attempt < kMaxSubmits && !this->isStopping; ++attempt) {
    const std::size_t host = aRandom() % this->site->Hosts();
    const int status = this->site->Submit(host, aKey, members, workMs);
    if (status == kOk) {
      job.outcome = SoakJob::Outcome::kAccepted;
      break;
    }
    // A connection that could not be opened also counts as unknown: the client
    // does not distinguish it from a lost answer.
    if (status != kNotRun) {
      job.outcome = SoakJob::Outcome::kUnknown;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  job.settledAt = Clock::now();
  return job;
}

void
SoakCallers::MaybeCancel(SoakJob& aJob, std::mt19937& aRandom) const
{
  if (aJob.outcome != SoakJob::Outcome::kAccepted ||
      aRandom() % kCancelEvery != 0) {
    return;
  }
  const std::size_t host = aRandom() % this->site->Hosts();
  const int status =
    this->site->Call(host, "DELETE", SiteDeployment::PathOf(aJob.key));
  aJob.settledAt = Clock::now();
  if (status == kOk) {
    aJob.outcome = SoakJob::Outcome::kCancelled;
  } else if (status != kNotRun) {
    aJob.outcome = SoakJob::Outcome::kUnknown;
  }
}

}
