#pragma once

#include "core/instant.h"
#include "machines/resources.h"
#include "zones/unit_ref.h"

#include <algorithm>
#include <concepts>
#include <map>
#include <vector>

namespace sardinecourse {

/** Resources reserved for units in whose favour runs are being stopped, so that
 * no other unit is placed on them in the meantime. */
class PreemptionReservations
{
public:
  void Reserve(const UnitRef& aUnit,
               const std::vector<WorkerName>& aPlaces,
               const Resources& aNeed,
               Instant aUntil);
  void Release(const UnitRef& aUnit) { this->reservations.erase(aUnit); }
  void DropExpired(Instant aNow);
  /** Drops each reservation with resources on a worker to which aApplies. */
  template<std::predicate<const WorkerName&> Predicate>
  void DropOn(Predicate aApplies)
  {
    std::erase_if(this->reservations, [&aApplies](const auto& aEntry) {
      const auto& places = aEntry.second.resources;
      return std::any_of(
        places.begin(), places.end(), [&aApplies](const auto& aPlace) {
          return aApplies(aPlace.first);
        });
    });
  }
  bool HasReservation(const UnitRef& aUnit) const
  {
    return this->reservations.contains(aUnit);
  }
  /** Resources reserved on each worker that has a reservation. */
  std::map<WorkerName, Resources> ReservedByWorker() const;
  /** Resources reserved on a worker for units other than aUnit. */
  Resources ReservedForOthers(const WorkerName& aWorker,
                              const UnitRef& aUnit) const;

private:
  struct Reservation
  {
    std::map<WorkerName, Resources> resources;
    Instant until;
  };

  std::map<UnitRef, Reservation> reservations;
};

}
