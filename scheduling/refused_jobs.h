#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <map>
#include <set>
#include <vector>

namespace sardinecourse {

/** Jobs whose progress the store refused for its contents, so that they do not
 * keep the progress of other jobs from being stored. */
class RefusedJobs
{
public:
  /** Records that a transaction with these jobs was refused. Each of them is a
   * suspect, which is stored in a transaction of its own; one that is refused
   * alone is not tried again for kRetryTime. */
  void Refused(const std::vector<JobKey>& aJobs, Instant aNow);
  void Stored(const std::vector<JobKey>& aJobs);

  bool IsSuspect(const JobKey& aJob) const
  {
    return this->suspects.contains(aJob);
  }
  bool IsHeldBack(const JobKey& aJob, Instant aNow) const;

  static constexpr Milliseconds kRetryTime{ 5000 };

private:
  std::set<JobKey> suspects;
  /** When each job that was refused alone may be tried again. */
  std::map<JobKey, Instant> retryAt;
};

}
