#include "zones/preemption_reservations.h"

namespace sardinecourse {

void
PreemptionReservations::Reserve(const UnitRef& aUnit,
                                const std::vector<WorkerName>& aPlaces,
                                const Resources& aNeed,
                                Instant aUntil)
{
  Entry entry;
  entry.until = aUntil;
  for (const WorkerName& place : aPlaces) {
    entry.room[place] = entry.room[place].Plus(aNeed);
  }
  this->holds[aUnit] = std::move(entry);
}

void
PreemptionReservations::DropExpired(Instant aNow)
{
  std::erase_if(this->holds, [aNow](const auto& aHold) {
    return aHold.second.until < aNow;
  });
}

Resources
PreemptionReservations::ReservedForOthers(const WorkerName& aWorker,
                                          const UnitRef& aUnit) const
{
  Resources held;
  for (const auto& [unit, entry] : this->holds) {
    const auto found = entry.room.find(aWorker);
    if (unit != aUnit && found != entry.room.end()) {
      held = held.Plus(found->second);
    }
  }
  return held;
}

}
