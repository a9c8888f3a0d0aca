#pragma once

#include "contracts/shape.h"
#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <map>
#include <tuple>
#include <vector>

namespace sardinecourse {

class Job;

/** Recent run times of jobs by team, service and shape. Replaces the declared
 * run times, which are too inaccurate to use. */
class RunTimeHistory
{
public:
  /** The history plus one more job that completed. */
  RunTimeHistory With(const Job& aJob, Milliseconds aRunTime) const;

  /** Upper quartile of the run times of jobs of the same team, service and
   * shape, else of the same shape, else a default of 4 hours. */
  Milliseconds Expected(const Job& aJob) const;

  auto operator<=>(const RunTimeHistory&) const = default;

private:
  using RunTimes = std::vector<Milliseconds>;

  std::map<std::tuple<TeamName, ServiceName, Shape>, RunTimes> byKind;
  std::map<Shape, RunTimes> byShape;
};

}
