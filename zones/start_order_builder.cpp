#include "zones/start_order_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

StartOrderBuilder&
StartOrderBuilder::Worker(WorkerName aWorker)
{
  this->value.worker = std::move(aWorker);
  return *this;
}

StartOrderBuilder&
StartOrderBuilder::Task(TaskAddress aTask)
{
  this->value.task = std::move(aTask);
  return *this;
}

StartOrderBuilder&
StartOrderBuilder::Run(std::int64_t aRun)
{
  this->value.run = aRun;
  return *this;
}

StartOrderBuilder&
StartOrderBuilder::Checkpoint(std::string aCheckpoint)
{
  this->value.checkpoint = std::move(aCheckpoint);
  return *this;
}

StartOrderBuilder&
StartOrderBuilder::JobVersion(std::int64_t aJobVersion)
{
  this->value.jobVersion = aJobVersion;
  return *this;
}

std::optional<StartOrder>
StartOrderBuilder::Build(Reason& aReason) const
{
  if (this->value.worker.Empty()) {
    aReason = Reason(Step::kPlacement, "", "an order needs a worker");
    return std::nullopt;
  }
  return this->value;
}

}
