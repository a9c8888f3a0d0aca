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

/** Assumed of a gang about which nothing was learned. */
constexpr std::chrono::hours kUnknownRunTime{ 1 };

}

class Reservations::Place
{
public:
  Place(Instant aBegin, std::int32_t aRack, std::vector<MemberPlace> aPlaces)
    : begin(aBegin)
    , rack(aRack)
    , places(std::move(aPlaces))
  {
  }

  Instant Begin() const { return this->begin; }
  std::int32_t Rack() const { return this->rack; }
  const std::vector<MemberPlace>& Places() const { return this->places; }

  auto operator<=>(const Place&) const = default;

private:
  Instant begin;
  std::int32_t rack;
  std::vector<MemberPlace> places;
};

Reservations::Reservations(const DataCentreLoad& aLoad, Instant aNow)
  : load(aLoad)
  , now(aNow)
  , kept(aLoad.Workers().size(), 0)
  , begins(aLoad.Racks().size())
{
}

std::optional<Instant>
Reservations::Reserve(const std::vector<WorkerOccupancy>& aOccupancy,
                      const Job& aJob)
{
  std::optional<Place> best;
  for (std::size_t rack = 0; rack < this->begins.size(); ++rack) {
    if (this->begins[rack]) {
      continue;
    }
    std::optional<Place> place =
      this->EarliestIn(aOccupancy, aJob, static_cast<std::int32_t>(rack));
    if (place && (!best || *place < *best)) {
      best = std::move(place);
    }
  }
  if (!best) {
    return std::nullopt;
  }
  this->begins[best->Rack()] = best->Begin();
  for (const MemberPlace& place : best->Places()) {
    this->kept[place.Worker()] |= place.Mask();
  }
  return best->Begin();
}

AcceleratorMask
Reservations::Closed(std::int32_t aRack,
                     std::int32_t aWorker,
                     Milliseconds aRunTime) const
{
  const std::optional<Instant>& begin = this->begins[aRack];
  const bool endsBefore =
    aRunTime.count() > 0 && begin && this->now + aRunTime <= *begin;
  return endsBefore ? 0 : this->kept[aWorker];
}

/** Searches for the fewest gangs, in the order in which they end, that leave
 * room: more of them never leave less. */
std::optional<Reservations::Place>
Reservations::EarliestIn(const std::vector<WorkerOccupancy>& aOccupancy,
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
  std::size_t tooFew = 0;
  std::size_t enough = gangs.size();
  while (tooFew < enough) {
    const std::size_t middle = (tooFew + enough) / 2;
    std::vector<MemberPlace> earlier = this->PlacesAfter(
      aOccupancy,
      aJob,
      rack,
      { gangs.begin(), gangs.begin() + static_cast<std::ptrdiff_t>(middle) });
    if (earlier.empty()) {
      tooFew = middle + 1;
    } else {
      enough = middle;
      places = std::move(earlier);
    }
  }
  const Instant begin =
    enough == 0 ? this->now : this->EndOf(gangs[enough - 1]);
  return Place(begin, aRack, std::move(places));
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
    const WorkerOccupancy& taken = aOccupancy[worker];
    free.emplace_back(taken.Free(), taken.FreeCores(), taken.FreeMemory());
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
  std::vector<WorkerCapacity> rooms;
  rooms.reserve(aRack.Count());
  for (const auto& [mask, cores, memory] : free) {
    const auto index = static_cast<std::int32_t>(rooms.size());
    rooms.push_back(
      CapacityFor(aRack.First() + index, mask, cores, memory, aJob));
  }
  return FitGang(rooms, aJob.GangShape());
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

/** A gang that has outrun what was learned is expected to take half as long
 * again as it has taken. */
Instant
Reservations::EndOf(std::int32_t aGang) const
{
  const RunningGang& gang = this->load.Running()[aGang];
  const Milliseconds runTime = gang.ExpectedRunTime().count() > 0
                                 ? gang.ExpectedRunTime()
                                 : Milliseconds(kUnknownRunTime);
  const Instant learned = gang.Started() + runTime;
  return learned > this->now ? learned
                             : this->now + (this->now - gang.Started()) / 2;
}

}
