#include "contracts/job_plan_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

namespace {

/** Bounds the memory that one job may take. */
constexpr std::int64_t kMaxUnits = 20'000;

bool
HasKnownOrder(const JobPlan& aPlan)
{
  std::int32_t index = 0;
  for (const JobStep& step : aPlan.Steps()) {
    for (const std::int32_t before : step.After()) {
      if (before < 0 || before >= index) {
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
    aReason = Reason(Step::kDecode, "", "a job runs at least once");
    return std::nullopt;
  }
  if (!HasKnownOrder(this->value)) {
    aReason =
      Reason(Step::kDecode, "", "a step depends on one that is not before it");
    return std::nullopt;
  }
  if (this->value.UnitCount() > kMaxUnits) {
    aReason = Reason(Step::kDecode, "", "the job has too many tasks");
    return std::nullopt;
  }
  return this->value;
}

}
