#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace sardinecourse {

class AdmittedJob;

/** When a job should be done for its callers, by the estimated run times of its
 * steps. Times count from the admission of the job, or from when an occurrence
 * of it is due. */
class JobObjective
{
public:
  /** Steps count with aMinRunTime where their estimates are lower. */
  explicit JobObjective(const AdmittedJob& aJob,
                        Milliseconds aMinRunTime = Milliseconds(0));

  /** Estimated time of the longest chain of steps. */
  Milliseconds ShortestTime() const { return this->shortestTime; }
  /** Time within which the job should be done. */
  Milliseconds Time() const { return this->time; }
  /** Latest start of a step with which the job can still be done in time;
   * negative when the objective is too short for the steps. */
  Milliseconds LatestStart(std::int32_t aStep) const
  {
    return this->latestStarts[static_cast<std::size_t>(aStep)];
  }

  auto operator<=>(const JobObjective&) const = default;

private:
  Milliseconds shortestTime{};
  Milliseconds time{};
  std::vector<Milliseconds> latestStarts;
};

}
