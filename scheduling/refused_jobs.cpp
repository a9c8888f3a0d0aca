#include "scheduling/refused_jobs.h"

namespace sardinecourse {

void
RefusedJobs::Refused(const std::vector<JobKey>& aJobs, Instant aNow)
{
  this->suspects.insert(aJobs.begin(), aJobs.end());
  if (aJobs.size() == 1) {
    this->retryAt[aJobs.front()] = aNow + kRetryTime;
  }
}

void
RefusedJobs::Stored(const std::vector<JobKey>& aJobs)
{
  for (const JobKey& job : aJobs) {
    this->suspects.erase(job);
    this->retryAt.erase(job);
  }
}

bool
RefusedJobs::IsHeldBack(const JobKey& aJob, Instant aNow) const
{
  const auto found = this->retryAt.find(aJob);
  return found != this->retryAt.end() && aNow < found->second;
}

}
