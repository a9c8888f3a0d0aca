#include "contracts/job_step_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

JobStepBuilder&
JobStepBuilder::Count(std::int32_t aCount)
{
  this->value.count = aCount;
  return *this;
}

JobStepBuilder&
JobStepBuilder::Need(Resources aNeed)
{
  this->value.need = aNeed;
  return *this;
}

JobStepBuilder&
JobStepBuilder::Estimate(Milliseconds aEstimate)
{
  this->value.estimate = aEstimate;
  return *this;
}

JobStepBuilder&
JobStepBuilder::After(std::vector<std::int32_t> aAfter)
{
  this->value.after = std::move(aAfter);
  return *this;
}

JobStepBuilder&
JobStepBuilder::IsGang(bool aIsGang)
{
  this->value.isGang = aIsGang;
  return *this;
}

JobStepBuilder&
JobStepBuilder::PrefersOneRack(bool aPrefersOneRack)
{
  this->value.prefersOneRack = aPrefersOneRack;
  return *this;
}

JobStepBuilder&
JobStepBuilder::IsCheckpointing(bool aIsCheckpointing)
{
  this->value.isCheckpointing = aIsCheckpointing;
  return *this;
}

JobStepBuilder&
JobStepBuilder::Label(std::string aLabel)
{
  this->value.label = std::move(aLabel);
  return *this;
}

JobStepBuilder&
JobStepBuilder::DataRack(RackName aDataRack)
{
  this->value.dataRack = std::move(aDataRack);
  return *this;
}

JobStepBuilder&
JobStepBuilder::MaxTasksPerWorker(std::int32_t aMaxTasksPerWorker)
{
  this->value.maxTasksPerWorker = aMaxTasksPerWorker;
  return *this;
}

JobStepBuilder&
JobStepBuilder::IsEndless(bool aIsEndless)
{
  this->value.isEndless = aIsEndless;
  return *this;
}

std::optional<JobStep>
JobStepBuilder::Build(Reason& aReason) const
{
  if (this->value.count < 1) {
    aReason = Reason(Step::kDecode, "", "a step needs at least one task");
    return std::nullopt;
  }
  if (this->value.maxTasksPerWorker < 0) {
    aReason = Reason(
      Step::kDecode, "", "the limit of tasks per worker must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
