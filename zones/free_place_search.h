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

/** Whether a job keeps out of what is reserved for others. */
enum class ReservationUse : std::uint8_t
{
  kRespect,
  kIgnore
};

/** Finds free places by what large gangs lose when they are taken. What it
 * refers to may change between searches. */
class FreePlaceSearch
{
public:
  FreePlaceSearch(const DataCentreLoad& aLoad,
                  const std::vector<WorkerOccupancy>& aOccupancy,
                  const Reservations& aReservations,
                  std::vector<Shape> aReferences);

  /** Places for the job, one a rack at most, the least loss first. */
  std::vector<FreePlace> Find(const WaitingJob& aJob,
                              ReservationUse aUse) const;

private:
  std::optional<FreePlace> FindIn(const WaitingJob& aJob,
                                  ReservationUse aUse,
                                  std::int32_t aRack) const;

  const DataCentreLoad& load;
  const std::vector<WorkerOccupancy>& occupancy;
  const Reservations& reservations;
  /** Shapes that count as large besides powers of two of whole workers. */
  std::vector<Shape> references;
};

}
