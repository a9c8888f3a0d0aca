#pragma once

#include "core/instant.h"
#include "tests/harness/job_deployment.h"

#include <set>
#include <string>
#include <utility>

namespace sardinecourse::harness {

/** Submits the jobs of one test run and checks their outcomes. */
class JobHistory
{
public:
  explicit JobHistory(JobDeployment& aDeployment)
    : deployment(&aDeployment)
  {
  }

  /** Submits to the daemons in turn until one admits the job; false after 20
   * attempts. */
  bool Submit(const std::string& aTeam,
              const std::string& aKey,
              int aMembers,
              int aAccelerators,
              Milliseconds aRunTime,
              bool aUrgent = false);

  /** Waits up to aTimeout for a final state of every admitted job, then a fixed
   * time for the workers to clean up. Returns a description of each job without
   * an outcome and of each violation of CheckGangs() with aBound; empty when
   * there is none. */
  std::string WaitAndCheck(Milliseconds aTimeout, Milliseconds aBound);

private:
  JobDeployment* deployment;
  std::set<std::pair<std::string, std::string>> admitted;
};

}
