#pragma once

#include "core/endpoint.h"
#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A machine of the platform that runs tasks on its accelerators. */
class Worker
{
public:
  const WorkerName& Name() const { return this->name; }
  /** Rack that contains the worker. */
  const RackName& Rack() const { return this->rack; }
  const DataCentreName& DataCentre() const { return this->dataCentre; }
  /** Endpoint for task commands. */
  const Endpoint& Address() const { return this->address; }
  /** Number of accelerators, indexed from 0. */
  std::int32_t Accelerators() const { return this->accelerators; }
  std::int32_t Cores() const { return this->cores; }
  /** In MB. */
  std::int32_t Memory() const { return this->memory; }

  auto operator<=>(const Worker&) const = default;

private:
  friend class WorkerBuilder;

  WorkerName name;
  RackName rack;
  DataCentreName dataCentre;
  Endpoint address;
  std::int32_t accelerators = 0;
  std::int32_t cores = 1;
  std::int32_t memory = 1024;
};

}
