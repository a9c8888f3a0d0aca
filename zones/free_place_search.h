#pragma once

#include "contracts/shape.h"
#include "zones/free_place.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinecourse {

class DataCentreLoad;
class Reservations;
class WaitingJob;
class WorkerOccupancy;

/** Whether a job may use accelerators that are reserved for others. */
enum class ReservationUse : std::uint8_t
{
  kRespect,
  kIgnore
};

/** Finds free places and ranks them by the capacity that large gangs lose.
 * Keeps references to its arguments, which may change between searches. */
class FreePlaceSearch
{
public:
  FreePlaceSearch(const DataCentreLoad& aLoad,
                  const std::vector<WorkerOccupancy>& aOccupancy,
                  const Reservations& aReservations,
                  std::vector<Shape> aReferences);

  /** Places for the job, at most one per rack, in ascending order of loss. */
  std::vector<FreePlace> Find(const WaitingJob& aJob,
                              ReservationUse aUse) const;

private:
  std::optional<FreePlace> FindIn(const WaitingJob& aJob,
                                  ReservationUse aUse,
                                  std::int32_t aRack) const;

  const DataCentreLoad& load;
  const std::vector<WorkerOccupancy>& occupancy;
  const Reservations& reservations;
  /** Shapes to keep capacity for, besides powers of two of whole workers. */
  std::vector<Shape> references;
};

}
