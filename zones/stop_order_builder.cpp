#include "zones/stop_order_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

StopOrderBuilder&
StopOrderBuilder::Worker(WorkerName aWorker)
{
  this->value.worker = std::move(aWorker);
  return *this;
}

StopOrderBuilder&
StopOrderBuilder::Task(TaskAddress aTask)
{
  this->value.task = std::move(aTask);
  return *this;
}

StopOrderBuilder&
StopOrderBuilder::Run(std::int64_t aRun)
{
  this->value.run = aRun;
  return *this;
}

StopOrderBuilder&
StopOrderBuilder::Cause(StopCause aCause)
{
  this->value.cause = aCause;
  return *this;
}

std::optional<StopOrder>
StopOrderBuilder::Build(Reason& aReason) const
{
  if (this->value.worker.Empty()) {
    aReason = Reason(Step::kPlacement, "", "an order needs a worker");
    return std::nullopt;
  }
  return this->value;
}

}
