#include "machines/accelerator_range_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

AcceleratorRangeBuilder&
AcceleratorRangeBuilder::Worker(WorkerName aWorker)
{
  this->value.worker = std::move(aWorker);
  return *this;
}

AcceleratorRangeBuilder&
AcceleratorRangeBuilder::First(std::int32_t aFirst)
{
  this->value.first = aFirst;
  return *this;
}

AcceleratorRangeBuilder&
AcceleratorRangeBuilder::Count(std::int32_t aCount)
{
  this->value.count = aCount;
  return *this;
}

std::optional<AcceleratorRange>
AcceleratorRangeBuilder::Build(Reason& aReason) const
{
  if (this->value.first < 0) {
    aReason = Reason(Step::kPlacement,
                     this->value.worker.Text(),
                     "an accelerator index must not be negative");
    return std::nullopt;
  }
  if (this->value.count < 0) {
    aReason = Reason(Step::kPlacement,
                     this->value.worker.Text(),
                     "an accelerator count must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
