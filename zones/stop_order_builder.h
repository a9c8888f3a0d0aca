#pragma once

#include "zones/stop_order.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a StopOrder; Build() returns nothing and sets the reason when the
 * worker is empty. */
class StopOrderBuilder
{
public:
  StopOrderBuilder& Worker(WorkerName aWorker);
  StopOrderBuilder& Task(TaskAddress aTask);
  StopOrderBuilder& Run(std::int64_t aRun);
  StopOrderBuilder& Cause(StopCause aCause);
  std::optional<StopOrder> Build(Reason& aReason) const;

private:
  StopOrder value;
};

}
