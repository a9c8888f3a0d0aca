#include "zones/preemption_reservations.h"

namespace sardinecourse {

void
PreemptionReservations::Reserve(const UnitRef& aUnit,
                                const std::vector<WorkerName>& aPlaces,
                                const Resources& aNeed,
                                Instant aUntil)
{
  Reservation reservation;
  reservation.until = aUntil;
  for (const WorkerName& place : aPlaces) {
    reservation.resources[place] = reservation.resources[place].Plus(aNeed);
  }
  this->reservations[aUnit] = std::move(reservation);
}

void
PreemptionReservations::DropExpired(Instant aNow)
{
  std::erase_if(this->reservations, [aNow](const auto& aEntry) {
    return aEntry.second.until < aNow;
  });
}

std::map<WorkerName, Resources>
PreemptionReservations::ReservedByWorker() const
{
  std::map<WorkerName, Resources> reserved;
  for (const auto& [unit, reservation] : this->reservations) {
    for (const auto& [worker, resources] : reservation.resources) {
      reserved[worker] = reserved[worker].Plus(resources);
    }
  }
  return reserved;
}

Resources
PreemptionReservations::ReservedForOthers(const WorkerName& aWorker,
                                          const UnitRef& aUnit) const
{
  Resources reserved;
  for (const auto& [unit, reservation] : this->reservations) {
    const auto found = reservation.resources.find(aWorker);
    if (unit != aUnit && found != reservation.resources.end()) {
      reserved = reserved.Plus(found->second);
    }
  }
  return reserved;
}

}
