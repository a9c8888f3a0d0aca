#include "zones/free_place_search.h"

#include "machines/worker_occupancy.h"
#include "zones/data_centre_load.h"
#include "zones/gang_fit.h"
#include "zones/member_capacity.h"
#include "zones/rack_value.h"
#include "zones/reservations.h"
#include "zones/waiting_job.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

FreePlaceSearch::FreePlaceSearch(const DataCentreLoad& aLoad,
                                 const std::vector<WorkerOccupancy>& aOccupancy,
                                 const Reservations& aReservations,
                                 std::vector<Shape> aReferences)
  : load(aLoad)
  , occupancy(aOccupancy)
  , reservations(aReservations)
  , references(std::move(aReferences))
{
}

std::vector<FreePlace>
FreePlaceSearch::Find(const WaitingJob& aJob, ReservationUse aUse) const
{
  std::vector<FreePlace> places;
  for (std::size_t rack = 0; rack < this->load.Racks().size(); ++rack) {
    std::optional<FreePlace> place =
      this->FindIn(aJob, aUse, static_cast<std::int32_t>(rack));
    if (place) {
      places.push_back(std::move(*place));
    }
  }
  std::ranges::sort(places);
  return places;
}

std::optional<FreePlace>
FreePlaceSearch::FindIn(const WaitingJob& aJob,
                        ReservationUse aUse,
                        std::int32_t aRack) const
{
  const Rack& rack = this->load.Racks()[aRack];
  const Shape shape = aJob.Request().GangShape();
  std::vector<WorkerCapacity> capacities;
  capacities.reserve(rack.Count());
  std::vector<AcceleratorMask> free;
  free.reserve(rack.Count());
  std::int32_t members = 0;
  std::int32_t acceleratorsPerWorker = 0;
  for (std::int32_t worker = rack.First(); worker < rack.First() + rack.Count();
       ++worker) {
    const WorkerOccupancy& current = this->occupancy[worker];
    const AcceleratorMask reserved =
      aUse == ReservationUse::kIgnore
        ? 0
        : this->reservations.BlockedFor(aRack, worker, aJob.ExpectedRunTime());
    capacities.push_back(CapacityFor(worker,
                                     current.Free() & ~reserved,
                                     current.FreeCores(),
                                     current.FreeMemory(),
                                     aJob.Request()));
    members += CountMembers(capacities.back(), shape.AcceleratorsPerMember());
    free.push_back(current.Free());
    acceleratorsPerWorker =
      std::max(acceleratorsPerWorker, CountAccelerators(current.Usable()));
  }
  if (members < shape.Members()) {
    return std::nullopt;
  }
  const std::int64_t before =
    RackValue(free, acceleratorsPerWorker, this->references);
  std::vector<MemberPlace> places = FitGang(capacities, shape);
  std::int32_t freeAfter = 0;
  for (const MemberPlace& place : places) {
    free[place.Worker() - rack.First()] &= ~place.Mask();
  }
  for (const AcceleratorMask mask : free) {
    freeAfter += CountAccelerators(mask);
  }
  const std::int64_t after =
    RackValue(free, acceleratorsPerWorker, this->references);
  return FreePlace(before - after, freeAfter, aRack, std::move(places));
}

}
