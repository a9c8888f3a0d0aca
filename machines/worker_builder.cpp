#include "machines/worker_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

WorkerBuilder&
WorkerBuilder::Name(WorkerName aName)
{
  this->value.name = std::move(aName);
  return *this;
}

WorkerBuilder&
WorkerBuilder::Rack(RackName aRack)
{
  this->value.rack = std::move(aRack);
  return *this;
}

WorkerBuilder&
WorkerBuilder::DataCentre(DataCentreName aDataCentre)
{
  this->value.dataCentre = std::move(aDataCentre);
  return *this;
}

WorkerBuilder&
WorkerBuilder::Address(Endpoint aAddress)
{
  this->value.address = std::move(aAddress);
  return *this;
}

WorkerBuilder&
WorkerBuilder::Accelerators(std::int32_t aAccelerators)
{
  this->value.accelerators = aAccelerators;
  return *this;
}

WorkerBuilder&
WorkerBuilder::Cores(std::int32_t aCores)
{
  this->value.cores = aCores;
  return *this;
}

WorkerBuilder&
WorkerBuilder::Memory(std::int32_t aMemory)
{
  this->value.memory = aMemory;
  return *this;
}

std::optional<Worker>
WorkerBuilder::Build(Reason& aReason) const
{
  if (this->value.name.Empty()) {
    aReason =
      Reason(Step::kSettings, this->value.name.Text(), "a worker needs a name");
    return std::nullopt;
  }
  if (this->value.rack.Empty()) {
    aReason =
      Reason(Step::kSettings, this->value.name.Text(), "a worker needs a rack");
    return std::nullopt;
  }
  if (this->value.accelerators < 0) {
    aReason = Reason(Step::kSettings,
                     this->value.name.Text(),
                     "accelerators must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
