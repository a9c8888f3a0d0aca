#pragma once

#include "core/endpoint.h"
#include "core/instant.h"
#include "core/names.h"
#include "machines/resources.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

/** A worker as the platform's registry lists it. */
class WorkerListing
{
public:
  const WorkerName& Name() const { return this->name; }
  /** The service whose tasks it runs. */
  const ServiceName& Service() const { return this->service; }
  /** Endpoint for orders. */
  const Endpoint& Address() const { return this->address; }
  const DataCentreName& DataCentre() const { return this->dataCentre; }
  const RackName& Rack() const { return this->rack; }
  const std::vector<std::string>& Labels() const { return this->labels; }
  /** Total resources for tasks. */
  const Resources& Capacity() const { return this->capacity; }
  /** True when it takes no new work because it will be shut down. */
  bool IsLeaving() const { return this->isLeaving; }
  /** How long a worker that is leaving stays at least, from when it was listed;
   * empty when that is not known. */
  const std::optional<Milliseconds>& TimeLeft() const { return this->timeLeft; }

  /** How much longer the worker is slow after its start, when it was listed. */
  Milliseconds ColdLeft() const { return this->coldLeft; }

  auto operator<=>(const WorkerListing&) const = default;

private:
  friend class WorkerListingBuilder;

  WorkerName name;
  ServiceName service;
  Endpoint address;
  DataCentreName dataCentre;
  RackName rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool isLeaving = false;
  Milliseconds coldLeft{ 0 };
  std::optional<Milliseconds> timeLeft;
};

}
