#pragma once

#include "core/instant.h"
#include "machines/resources.h"
#include "zones/unit_ref.h"

#include <map>
#include <vector>

namespace sardinecourse {

/** Room that is kept for units whose places are being freed for them, so that
 * no other unit takes it meanwhile. */
class PreemptionReservations
{
public:
  void Reserve(const UnitRef& aUnit,
               const std::vector<WorkerName>& aPlaces,
               const Resources& aNeed,
               Instant aUntil);
  void Release(const UnitRef& aUnit) { this->holds.erase(aUnit); }
  void DropExpired(Instant aNow);
  bool HasReservation(const UnitRef& aUnit) const
  {
    return this->holds.contains(aUnit);
  }
  /** Room held on a worker for units other than the given one. */
  Resources ReservedForOthers(const WorkerName& aWorker,
                              const UnitRef& aUnit) const;

private:
  struct Entry
  {
    std::map<WorkerName, Resources> room;
    Instant until;
  };

  std::map<UnitRef, Entry> holds;
};

}
