#pragma once

#include "machines/worker.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Worker; Build() is empty, with the reason, when a field is missing
 * or out of range. */
class WorkerBuilder
{
public:
  WorkerBuilder& Name(WorkerName aName);
  WorkerBuilder& Rack(RackName aRack);
  WorkerBuilder& DataCentre(DataCentreName aDataCentre);
  WorkerBuilder& Address(Endpoint aAddress);
  WorkerBuilder& Accelerators(std::int32_t aAccelerators);
  WorkerBuilder& Cores(std::int32_t aCores);
  WorkerBuilder& Memory(std::int32_t aMemory);
  std::optional<Worker> Build(Reason& aReason) const;

private:
  Worker value;
};

}
