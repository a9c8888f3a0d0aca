#include "contracts/job_plan_builder.h"

#include "core/reason.h"

#include <chrono>
#include <string>
#include <utility>

namespace sardinecourse {

namespace {

/** Bounds the memory that one job can use. */
constexpr std::int64_t kMaxUnits = 20'000;
/** Latest time on the platform's clocks, which count nanoseconds in 64 bits. */
constexpr WallTime kMaxDue{ std::chrono::duration_cast<Milliseconds>(
  std::chrono::nanoseconds::max()) };

bool
IsOnClock(WallTime aTime)
{
  return aTime <= kMaxDue &&
         aTime.time_since_epoch() >= -kMaxDue.time_since_epoch();
}

bool
DependsOnlyOnEarlierSteps(const JobPlan& aPlan)
{
  std::int32_t index = 0;
  for (const JobStep& step : aPlan.Steps()) {
    for (const std::int32_t dependency : step.After()) {
      if (dependency < 0 || dependency >= index) {
        return false;
      }
    }
    ++index;
  }
  return true;
}

}

JobPlanBuilder&
JobPlanBuilder::Payload(std::string aPayload)
{
  this->value.payload = std::move(aPayload);
  return *this;
}

JobPlanBuilder&
JobPlanBuilder::Steps(std::vector<JobStep> aSteps)
{
  this->value.steps = std::move(aSteps);
  return *this;
}

JobPlanBuilder&
JobPlanBuilder::Occurrences(std::int32_t aOccurrences)
{
  this->value.occurrences = aOccurrences;
  return *this;
}

JobPlanBuilder&
JobPlanBuilder::IsTimed(bool aIsTimed)
{
  this->value.isTimed = aIsTimed;
  return *this;
}

JobPlanBuilder&
JobPlanBuilder::FirstDue(WallTime aFirstDue)
{
  this->value.firstDue = aFirstDue;
  return *this;
}

JobPlanBuilder&
JobPlanBuilder::Interval(Milliseconds aInterval)
{
  this->value.interval = aInterval;
  return *this;
}

std::optional<JobPlan>
JobPlanBuilder::Build(Reason& aReason) const
{
  if (this->value.steps.empty()) {
    aReason = Reason(Step::kDecode, "", "a job needs at least one step");
    return std::nullopt;
  }
  if (this->value.occurrences < 1) {
    aReason = Reason(Step::kDecode, "", "a job needs at least one occurrence");
    return std::nullopt;
  }
  if (!DependsOnlyOnEarlierSteps(this->value)) {
    aReason =
      Reason(Step::kDecode, "", "a step may depend only on earlier steps");
    return std::nullopt;
  }
  if (this->value.UnitCount() > kMaxUnits) {
    aReason = Reason(Step::kDecode,
                     "",
                     "the job has " + std::to_string(this->value.UnitCount()) +
                       " units in all occurrences, at most " +
                       std::to_string(kMaxUnits) + " are accepted");
    return std::nullopt;
  }
  if (this->value.isTimed &&
      !(IsOnClock(this->value.firstDue) &&
        IsOnClock(this->value.DueOf(this->value.occurrences - 1)))) {
    aReason = Reason(Step::kDecode,
                     "",
                     "an occurrence is due more than " +
                       std::to_string(kMaxDue.time_since_epoch().count()) +
                       " ms from 1970");
    return std::nullopt;
  }
  return this->value;
}

}
