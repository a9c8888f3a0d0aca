#pragma once

#include "tests/stand_ins/idle_job.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinecourse {

class SiteSimulation;
struct SiteStep;

/** Follows which accepted jobs run nothing although a task's turn has come,
 * there is room for it twice over, and under half of the site's capacity is in
 * use. */
class IdleJobs
{
public:
  /** Follows a job whose steps run one after the other. */
  void Add(const std::string& aJob, std::int32_t aSteps);
  void Remove(const std::string& aJob);

  /** Compares the jobs with the simulation's current state. */
  void Update(const SiteSimulation& aSimulation);

  /** Jobs that are idle now. */
  std::vector<IdleJob> Current() const;
  /** Jobs that were idle, each with its longest time in milliseconds. */
  const std::map<std::string, std::int64_t>& LongestMs() const
  {
    return this->longestMs;
  }
  /** Share of the workers' cores or accelerators in use, whichever is larger.
   */
  double UsedShare() const { return this->usedShare; }

private:
  struct FollowedJob
  {
    std::int32_t steps = 1;
    bool isIdle = false;
    IdleJob idle;
  };
  /** Room on one worker that takes starts. */
  struct Room
  {
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
  };

  void ReadRuns(const SiteSimulation& aSimulation);
  /** Compares one job; false when it is complete or has failed. */
  bool UpdateJob(const SiteSimulation& aSimulation,
                 const std::string& aName,
                 FollowedJob& aJob);
  std::int64_t CountFitting(const SiteStep& aStep) const;

  std::map<std::string, FollowedJob> jobs;
  std::map<std::string, std::int64_t> longestMs;
  /** State of the simulation at the last update. */
  std::map<std::string, std::string> workersOfJobs;
  std::set<std::string> listedDone;
  std::vector<Room> rooms;
  double usedShare = 0.0;
};

}
