#include "tests/soak/soak_callers.h"

#include "tests/harness/site_deployment.h"

namespace sardinecourse::harness {

namespace {

constexpr int kCallers = 4;
constexpr int kMaxTries = 6;
constexpr Milliseconds kRetryPause{ 120 };
/** Between two jobs of a caller; the workers keep up with it. */
constexpr Milliseconds kJobPause{ 400 };
constexpr int kOk = 200;
constexpr int kNotRun = 503;
/** One job of so many is cancelled. */
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
    SoakJob job = this->HandIn(key, random);
    this->MayCancel(job, random);
    {
      const std::lock_guard lock(this->mutex);
      this->jobs.push_back(job);
    }
    std::this_thread::sleep_for(kJobPause);
  }
}

SoakJob
SoakCallers::HandIn(const std::string& aKey, std::mt19937& aRandom) const
{
  constexpr unsigned kMaxMembers = 3;
  constexpr unsigned kMaxWorkMs = 1500;
  const int members = static_cast<int>(1 + aRandom() % kMaxMembers);
  const int workMs = static_cast<int>(100 + aRandom() % kMaxWorkMs);
  SoakJob job;
  job.key = aKey;
  job.fate = SoakJob::Fate::kRefused;
  for (int tried = 0; tried < kMaxTries && !this->isStopping; ++tried) {
    const std::size_t host = aRandom() % this->site->Hosts();
    const int status = this->site->Submit(host, aKey, members, workMs);
    if (status == kOk) {
      job.fate = SoakJob::Fate::kAccepted;
      break;
    }
    // Silence before a connection also counts as open: the client does not
    // tell the two apart here.
    if (status != kNotRun) {
      job.fate = SoakJob::Fate::kOpen;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  job.settled = Clock::now();
  return job;
}

void
SoakCallers::MayCancel(SoakJob& aJob, std::mt19937& aRandom) const
{
  if (aJob.fate != SoakJob::Fate::kAccepted || aRandom() % kCancelEvery != 0) {
    return;
  }
  const std::size_t host = aRandom() % this->site->Hosts();
  const int status =
    this->site->Call(host, "DELETE", SiteDeployment::PathOf(aJob.key));
  aJob.settled = Clock::now();
  if (status == kOk) {
    aJob.fate = SoakJob::Fate::kCancelled;
  } else if (status != kNotRun) {
    aJob.fate = SoakJob::Fate::kOpen;
  }
}

}
