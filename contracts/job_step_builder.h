#pragma once

#include "contracts/job_step.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a JobStep. Build() returns nullopt and sets aReason if the count is
 * below 1 or the limit of tasks per worker is negative. */
class JobStepBuilder
{
public:
  JobStepBuilder& Count(std::int32_t aCount);
  JobStepBuilder& Need(Resources aNeed);
  JobStepBuilder& Estimate(Milliseconds aEstimate);
  JobStepBuilder& After(std::vector<std::int32_t> aAfter);
  JobStepBuilder& IsGang(bool aIsGang);
  JobStepBuilder& PrefersOneRack(bool aPrefersOneRack);
  JobStepBuilder& IsCheckpointing(bool aIsCheckpointing);
  JobStepBuilder& Label(std::string aLabel);
  JobStepBuilder& DataRack(RackName aDataRack);
  JobStepBuilder& MaxTasksPerWorker(std::int32_t aMaxTasksPerWorker);
  JobStepBuilder& IsEndless(bool aIsEndless);
  std::optional<JobStep> Build(Reason& aReason) const;

private:
  JobStep value;
};

}
