#pragma once

#include "core/instant.h"
#include "machines/accelerator_mask.h"
#include "machines/worker_occupancy.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinecourse {

class DataCentreLoad;
class Job;
class MemberPlace;
class Rack;

/**
 * Accelerators kept for large gangs that cannot start yet, at most one gang a
 * rack. Others may use them as long as they are expected to end before the
 * large gang can start.
 */
class Reservations
{
public:
  Reservations(const DataCentreLoad& aLoad, Instant aNow);

  /** Keeps a place in the rack where the gang can start first, and returns when
   * that is expected to be; empty when every fitting rack keeps one already. */
  std::optional<Instant> Reserve(const std::vector<WorkerOccupancy>& aOccupancy,
                                 const Job& aJob);
  /** What a gang may not take of the worker; aRunTime is zero when nobody knows
   * how long it runs. */
  AcceleratorMask Closed(std::int32_t aRack,
                         std::int32_t aWorker,
                         Milliseconds aRunTime) const;

private:
  class Place;

  std::optional<Place> EarliestIn(
    const std::vector<WorkerOccupancy>& aOccupancy,
    const Job& aJob,
    std::int32_t aRack) const;
  std::vector<MemberPlace> PlacesAfter(
    const std::vector<WorkerOccupancy>& aOccupancy,
    const Job& aJob,
    const Rack& aRack,
    const std::vector<std::int32_t>& aEnded) const;
  std::vector<std::int32_t> GangsByEnd(const Rack& aRack) const;
  Instant EndOf(std::int32_t aGang) const;

  const DataCentreLoad& load;
  Instant now;
  std::vector<AcceleratorMask> kept;
  /** When each rack's reservation begins; empty when it has none. */
  std::vector<std::optional<Instant>> begins;
};

}
