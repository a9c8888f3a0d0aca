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

/** How long jobs of each team, service and shape ran lately. Declared run times
 * are far off, so they are not asked. */
class RunTimeHistory
{
public:
  /** The history with one more job that ran to its end. */
  RunTimeHistory With(const Job& aJob, Milliseconds aRunTime) const;

  /** A run time that three of four jobs like this one stay within: of the same
   * team, service and shape, or else of the shape alone, or else a bound for
   * what was never seen. */
  Milliseconds Expected(const Job& aJob) const;

  auto operator<=>(const RunTimeHistory&) const = default;

private:
  using RunTimes = std::vector<Milliseconds>;

  std::map<std::tuple<TeamName, ServiceName, Shape>, RunTimes> byKind;
  std::map<Shape, RunTimes> byShape;
};

}
