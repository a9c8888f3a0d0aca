#pragma once

#include "machines/worker.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Worker. Build() returns nullopt and sets aReason when the name or
 * the rack is missing, or the number of accelerators is negative. */
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
