#pragma once

#include "zones/job_identity.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sardinecourse {

/** The last placement decisions of each job, in words, for a bounded number of
 * jobs. */
class DecisionLog
{
public:
  /** Keeps a decision; false when it is the same as the job's last one. */
  bool Add(const JobIdentity& aJob, const std::string& aText);
  /** The job's decisions, oldest first. */
  std::vector<std::string> Of(const JobIdentity& aJob) const;

private:
  static constexpr std::size_t kMaxJobs = 2000;
  static constexpr std::size_t kMaxDecisions = 8;

  std::map<JobIdentity, std::deque<std::string>> jobs;
  /** Jobs in the order of their first decision. */
  std::deque<JobIdentity> order;
};

}
