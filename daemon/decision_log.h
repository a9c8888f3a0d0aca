#pragma once

#include "zones/job_identity.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace sardinecourse {

/** The latest placement decisions of each job, as readable text, for a bounded
 * number of jobs. */
class DecisionLog
{
public:
  /** Adds a decision; returns false if it equals the job's latest one. */
  bool Add(const JobIdentity& aJob, const std::string& aText);
  /** The job's decisions, oldest first; empty for an unknown job. */
  std::vector<std::string> ForJob(const JobIdentity& aJob) const;

private:
  static constexpr std::size_t kMaxJobs = 2000;
  static constexpr std::size_t kMaxDecisions = 8;

  std::map<JobIdentity, std::deque<std::string>> jobs;
  /** Jobs by the time of their first decision; the oldest is evicted first. */
  std::deque<JobIdentity> insertionOrder;
};

}
