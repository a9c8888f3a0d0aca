#include "contracts/task_address_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

TaskAddressBuilder&
TaskAddressBuilder::Job(JobKey aJob)
{
  this->value.job = std::move(aJob);
  return *this;
}

TaskAddressBuilder&
TaskAddressBuilder::Occurrence(std::int32_t aOccurrence)
{
  this->value.occurrence = aOccurrence;
  return *this;
}

TaskAddressBuilder&
TaskAddressBuilder::Step(std::int32_t aStep)
{
  this->value.step = aStep;
  return *this;
}

TaskAddressBuilder&
TaskAddressBuilder::Index(std::int32_t aIndex)
{
  this->value.index = aIndex;
  return *this;
}

std::optional<TaskAddress>
TaskAddressBuilder::Build(Reason& aReason) const
{
  if (this->value.job.Empty()) {
    aReason = Reason(Step::kDecode, "", "a task needs a job");
    return std::nullopt;
  }
  if (this->value.occurrence < 0 || this->value.step < 0 ||
      this->value.index < 0) {
    aReason = Reason(Step::kDecode,
                     this->value.job.Text(),
                     "occurrence, step and index must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
