#include "zones/reservations.h"

#include "contracts/job.h"
#include "zones/data_centre_load.h"
#include "zones/gang_fit.h"
#include "zones/member_capacity.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace sardinecourse {

namespace {

/** Assumed for a gang without a learned run time. */
constexpr std::chrono::hours kUnknownRunTime{ 1 };

}

class Reservations::Place
{
public:
  Place(Instant aStart, std::int32_t aRack, std::vector<MemberPlace> aPlaces)
    : start(aStart)
    , rack(aRack)
    , places(std::move(aPlaces))
  {
  }

  Instant Start() const { return this->start; }
  std::int32_t Rack() const { return this->rack; }
  const std::vector<MemberPlace>& Places() const { return this->places; }

  auto operator<=>(const Place&) const = default;

private:
  Instant start;
  std::int32_t rack;
  std::vector<MemberPlace> places;
};

Reservations::Reservations(const DataCentreLoad& aLoad, Instant aNow)
  : load(aLoad)
  , now(aNow)
  , reservedMasks(aLoad.Workers().size(), 0)
  , reservationStarts(aLoad.Racks().size())
{
}

std::optional<Instant>
Reservations::Reserve(const std::vector<WorkerOccupancy>& aOccupancy,
                      const Job& aJob)
{
  std::optional<Place> best;
  for (std::size_t rack = 0; rack < this->reservationStarts.size(); ++rack) {
    if (this->reservationStarts[rack]) {
      continue;
    }
    std::optional<Place> place =
      this->FindEarliest(aOccupancy, aJob, static_cast<std::int32_t>(rack));
    if (place && (!best || *place < *best)) {
      best = std::move(place);
    }
  }
  if (!best) {
    return std::nullopt;
  }
  this->reservationStarts[best->Rack()] = best->Start();
  for (const MemberPlace& place : best->Places()) {
    this->reservedMasks[place.Worker()] |= place.Mask();
  }
  return best->Start();
}

AcceleratorMask
Reservations::BlockedFor(std::int32_t aRack,
                         std::int32_t aWorker,
                         Milliseconds aRunTime) const
{
  const std::optional<Instant>& start = this->reservationStarts[aRack];
  const bool endsBefore =
    aRunTime.count() > 0 && start && this->now + aRunTime <= *start;
  return endsBefore ? 0 : this->reservedMasks[aWorker];
}

/** Binary search for the fewest gangs, in the order in which they end, whose
 * end makes the job fit. It applies because a further gang that ends never
 * frees less. */
std::optional<Reservations::Place>
Reservations::FindEarliest(const std::vector<WorkerOccupancy>& aOccupancy,
                           const Job& aJob,
                           std::int32_t aRack) const
{
  const Rack& rack = this->load.Racks()[aRack];
  const std::vector<std::int32_t> gangs = this->GangsByEnd(rack);
  std::vector<MemberPlace> places =
    this->PlacesAfter(aOccupancy, aJob, rack, gangs);
  if (places.empty()) {
    return std::nullopt;
  }
  std::size_t tooFewEnds = 0;
  std::size_t enoughEnds = gangs.size();
  while (tooFewEnds < enoughEnds) {
    const std::size_t middle = (tooFewEnds + enoughEnds) / 2;
    std::vector<MemberPlace> earlier = this->PlacesAfter(
      aOccupancy,
      aJob,
      rack,
      { gangs.begin(), gangs.begin() + static_cast<std::ptrdiff_t>(middle) });
    if (earlier.empty()) {
      tooFewEnds = middle + 1;
    } else {
      enoughEnds = middle;
      places = std::move(earlier);
    }
  }
  const Instant start =
    enoughEnds == 0 ? this->now : this->EndOf(gangs[enoughEnds - 1]);
  return Place(start, aRack, std::move(places));
}

std::vector<MemberPlace>
Reservations::PlacesAfter(const std::vector<WorkerOccupancy>& aOccupancy,
                          const Job& aJob,
                          const Rack& aRack,
                          const std::vector<std::int32_t>& aEnded) const
{
  std::vector<std::tuple<AcceleratorMask, std::int32_t, std::int32_t>> free;
  free.reserve(aRack.Count());
  for (std::int32_t worker = aRack.First();
       worker < aRack.First() + aRack.Count();
       ++worker) {
    const WorkerOccupancy& current = aOccupancy[worker];
    free.emplace_back(
      current.Free(), current.FreeCores(), current.FreeMemory());
  }
  for (const std::int32_t gang : aEnded) {
    const RunningGang& running = this->load.Running()[gang];
    for (const MemberPlace& place : this->load.PlacesOf(gang)) {
      auto& [mask, cores, memory] = free[place.Worker() - aRack.First()];
      mask |= place.Mask() & aOccupancy[place.Worker()].Usable();
      cores += running.CoresPerMember();
      memory += running.MemoryPerMember();
    }
  }
  std::vector<WorkerCapacity> capacities;
  capacities.reserve(aRack.Count());
  for (const auto& [mask, cores, memory] : free) {
    const auto index = static_cast<std::int32_t>(capacities.size());
    capacities.push_back(
      CapacityFor(aRack.First() + index, mask, cores, memory, aJob));
  }
  return FitGang(capacities, aJob.GangShape());
}

std::vector<std::int32_t>
Reservations::GangsByEnd(const Rack& aRack) const
{
  std::vector<std::pair<Instant, std::int32_t>> ends;
  for (std::int32_t worker = aRack.First();
       worker < aRack.First() + aRack.Count();
       ++worker) {
    for (const std::int32_t gang : this->load.GangsOn(worker)) {
      ends.emplace_back(this->EndOf(gang), gang);
    }
  }
  std::ranges::sort(ends);
  std::vector<std::int32_t> gangs;
  gangs.reserve(ends.size());
  for (const auto& [end, gang] : ends) {
    if (gangs.empty() || gangs.back() != gang) {
      gangs.push_back(gang);
    }
  }
  return gangs;
}

/** A gang that has exceeded its learned run time is expected to run for another
 * half of the time it has run so far. */
Instant
Reservations::EndOf(std::int32_t aGang) const
{
  const RunningGang& gang = this->load.Running()[aGang];
  const Milliseconds runTime = gang.ExpectedRunTime().count() > 0
                                 ? gang.ExpectedRunTime()
                                 : Milliseconds(kUnknownRunTime);
  const Instant expectedEnd = gang.Started() + runTime;
  return expectedEnd > this->now ? expectedEnd
                                 : this->now + (this->now - gang.Started()) / 2;
}

}
