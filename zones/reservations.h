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
 * Accelerators reserved for large gangs that cannot start yet, at most one gang
 * per rack. Other gangs may use them when they are expected to end before the
 * large gang can start.
 */
class Reservations
{
public:
  Reservations(const DataCentreLoad& aLoad, Instant aNow);

  /** Reserves places in the rack where the gang is expected to start first and
   * returns that time; empty when every rack that fits has a reservation
   * already. */
  std::optional<Instant> Reserve(const std::vector<WorkerOccupancy>& aOccupancy,
                                 const Job& aJob);
  /** Reserved accelerators of the worker that a gang with this expected run
   * time may not use. A run time of zero means that it is unknown; then all
   * reserved accelerators are blocked. */
  AcceleratorMask BlockedFor(std::int32_t aRack,
                             std::int32_t aWorker,
                             Milliseconds aRunTime) const;

private:
  class Place;

  std::optional<Place> FindEarliest(
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
  std::vector<AcceleratorMask> reservedMasks;
  /** Expected start of the gang that each rack is reserved for; empty without a
   * reservation. */
  std::vector<std::optional<Instant>> reservationStarts;
};

}
