#pragma once

#include "review/stand_in/scenario.h"

#include <string>
#include <vector>

namespace review {

/** Small urgent jobs that clients hand in one after the other, and the check
 * that each of them is worked on. */
class UrgentStream
{
public:
  explicit UrgentStream(Scenario& aScenario)
    : scenario(&aScenario)
  {
  }

  /** Hands in one job each second. */
  void Send(int aJobs);
  /** After the end of the traffic, waits for the time that the platform's page
   * allows, then checks for 3 s that no accepted job has all its tasks waiting
   * while the minions have room for it twice over and are less than half used;
   * returns the number of jobs that do. */
  std::size_t CountForgotten(const Site::Shape& aShape);

private:
  struct Job
  {
    std::string id;
    bool isAccepted = false;
  };

  Scenario* scenario;
  std::vector<Job> jobs;
};

}
