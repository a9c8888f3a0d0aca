#pragma once

#include "contracts/job_plan.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a JobPlan. Build() returns nullopt and sets aReason if there are no
 * steps or no occurrences, a step depends on a step that is not earlier, there
 * are too many units, or an occurrence is due outside the clock's range. */
class JobPlanBuilder
{
public:
  JobPlanBuilder& Payload(std::string aPayload);
  JobPlanBuilder& Steps(std::vector<JobStep> aSteps);
  JobPlanBuilder& Occurrences(std::int32_t aOccurrences);
  JobPlanBuilder& IsTimed(bool aIsTimed);
  JobPlanBuilder& FirstDue(WallTime aFirstDue);
  JobPlanBuilder& Interval(Milliseconds aInterval);
  std::optional<JobPlan> Build(Reason& aReason) const;

private:
  JobPlan value;
};

}
