#pragma once

#include "core/instant.h"
#include "tests/harness/job_deployment.h"

#include <set>
#include <string>
#include <utility>

namespace sardinecourse::harness {

/** The jobs that one run submitted, and what it was told of them. */
class JobHistory
{
public:
  explicit JobHistory(JobDeployment& aDeployment)
    : deployment(&aDeployment)
  {
  }

  /** Submits until a daemon has admitted the job, through one after another.
   * Returns false when none did. */
  bool Submit(const std::string& aTeam,
              const std::string& aKey,
              int aMembers,
              int aAccelerators,
              Milliseconds aRunTime,
              bool aUrgent = false);

  /** Waits until every admitted job has an outcome, then until the workers have
   * nothing left, and gives each breach of the rules in words; empty when there
   * is none. */
  std::string Settle(Milliseconds aTimeout, Milliseconds aBound);

private:
  JobDeployment* deployment;
  std::set<std::pair<std::string, std::string>> admitted;
};

}
