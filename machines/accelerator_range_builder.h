#pragma once

#include "machines/accelerator_range.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds an AcceleratorRange. Build() returns nullopt and sets aReason when
 * the first index or the count is negative. */
class AcceleratorRangeBuilder
{
public:
  AcceleratorRangeBuilder& Worker(WorkerName aWorker);
  AcceleratorRangeBuilder& First(std::int32_t aFirst);
  AcceleratorRangeBuilder& Count(std::int32_t aCount);
  std::optional<AcceleratorRange> Build(Reason& aReason) const;

private:
  AcceleratorRange value;
};

}
