#pragma once

#include "zones/start_order.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a StartOrder; Build() returns nothing and sets the reason when the
 * worker is empty. */
class StartOrderBuilder
{
public:
  StartOrderBuilder& Worker(WorkerName aWorker);
  StartOrderBuilder& Task(TaskAddress aTask);
  StartOrderBuilder& Run(std::int64_t aRun);
  StartOrderBuilder& Checkpoint(std::string aCheckpoint);
  StartOrderBuilder& JobVersion(std::int64_t aJobVersion);
  std::optional<StartOrder> Build(Reason& aReason) const;

private:
  StartOrder value;
};

}
