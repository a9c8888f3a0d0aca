#pragma once

#include "machines/accelerator_range.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a AcceleratorRange; Build() is empty, with the reason, when a field
 * is missing or out of range. */
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
