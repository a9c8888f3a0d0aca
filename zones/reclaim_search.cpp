#include "zones/reclaim_search.h"

#include "contracts/job.h"
#include "machines/worker_occupancy.h"
#include "zones/data_centre_load.h"
#include "zones/gang_fit.h"
#include "zones/member_capacity.h"

#include <algorithm>
#include <chrono>

namespace sardinecourse {

namespace {

/** Added per victim to its lost work, in accelerator-milliseconds: a restart
 * takes time too, and fewer victims cause less fragmentation. */
constexpr std::int64_t kVictimCharge = 60'000;
/** Multiplies the cost of urgent gangs, which are stopped only for a guarantee,
 * and then last. */
constexpr std::int64_t kUrgentFactor = 100;

std::int64_t
AcceleratorsOf(Shape aShape)
{
  return std::int64_t{ aShape.Members() } * aShape.AcceleratorsPerMember();
}

void
AddVictim(std::int32_t aGang, std::vector<std::int32_t>& aVictims)
{
  if (std::ranges::find(aVictims, aGang) == aVictims.end()) {
    aVictims.push_back(aGang);
  }
}

}

/** A range of accelerators and the cost of freeing it. */
class ReclaimSearch::Candidate
{
public:
  Candidate(std::int64_t aCost, MemberPlace aPlace)
    : cost(aCost)
    , place(aPlace)
  {
  }

  const MemberPlace& Place() const { return this->place; }
  Candidate WithCost(std::int64_t aCost) const
  {
    return { this->cost + aCost, this->place };
  }

  auto operator<=>(const Candidate&) const = default;

private:
  std::int64_t cost = 0;
  MemberPlace place;
};

ReclaimSearch::ReclaimSearch(const DataCentreLoad& aLoad,
                             const std::vector<WorkerOccupancy>& aOccupancy,
                             const std::vector<char>& aStopping,
                             const Job& aJob,
                             ReclaimScope aScope,
                             Instant aNow)
  : load(aLoad)
  , occupancy(aOccupancy)
  , stopping(aStopping)
  , job(aJob)
  , scope(aScope)
  , now(aNow)
{
}

std::optional<ReclaimPlan>
ReclaimSearch::PlanRack(const Rack& aRack) const
{
  std::vector<MemberPlace> places = this->CheapestPlaces(aRack);
  if (places.empty()) {
    places = this->AnyPlaces(aRack);
  }
  if (places.empty()) {
    return std::nullopt;
  }
  return this->PlanAt(std::move(places));
}

std::optional<ReclaimPlan>
ReclaimSearch::PlanAt(std::vector<MemberPlace> aPlaces) const
{
  std::vector<std::int32_t> victims;
  for (const MemberPlace& place : aPlaces) {
    const AcceleratorMask obtainable = this->Obtainable(place.Worker());
    if ((place.Mask() & ~obtainable) != 0) {
      return std::nullopt;
    }
    for (const std::int32_t gang : this->load.GangsOn(place.Worker())) {
      if ((this->MaskOn(gang, place.Worker()) & place.Mask()) != 0) {
        AddVictim(gang, victims);
      }
    }
  }
  for (const MemberPlace& place : aPlaces) {
    const auto members = std::ranges::count(
      aPlaces, place.Worker(), [](const MemberPlace& aPlace) {
        return aPlace.Worker();
      });
    if (!this->FreeCoresAndMemory(
          place.Worker(), static_cast<std::int32_t>(members), victims)) {
      return std::nullopt;
    }
  }
  std::ranges::sort(victims);
  std::int64_t cost = 0;
  for (const std::int32_t victim : victims) {
    cost += this->CostOf(victim);
  }
  return ReclaimPlan(std::move(aPlaces), std::move(victims), cost);
}

std::optional<ReclaimPlan>
ReclaimSearch::AddOwnVictims(const ReclaimPlan& aPlan,
                             std::int32_t aExcess) const
{
  std::int64_t excess = aExcess;
  std::vector<std::int32_t> victims = aPlan.Victims();
  std::vector<std::pair<std::int64_t, std::int32_t>> others;
  for (std::size_t index = 0; index < this->load.Running().size(); ++index) {
    const auto gang = static_cast<std::int32_t>(index);
    const RunningGang& running = this->load.Running()[index];
    if (running.Team() != this->job.Team() || this->stopping[index] != 0) {
      continue;
    }
    if (std::ranges::find(victims, gang) != victims.end()) {
      excess -= AcceleratorsOf(running.GangShape());
    } else if (AcceleratorsOf(running.GangShape()) > 0 && this->MayStop(gang)) {
      others.emplace_back(this->CostOf(gang), gang);
    }
  }
  std::ranges::sort(others);
  std::int64_t cost = aPlan.Cost();
  for (const auto& [otherCost, gang] : others) {
    if (excess <= 0) {
      break;
    }
    victims.push_back(gang);
    cost += otherCost;
    excess -= AcceleratorsOf(this->load.Running()[gang].GangShape());
  }
  if (excess > 0) {
    return std::nullopt;
  }
  return ReclaimPlan(aPlan.Places(), std::move(victims), cost);
}

bool
ReclaimSearch::MayStop(std::int32_t aGang) const
{
  if (this->load.IsGuaranteed(aGang)) {
    return false;
  }
  const RunningGang& gang = this->load.Running()[aGang];
  switch (this->scope) {
    case ReclaimScope::kSmall:
      return !gang.Urgent() &&
             AcceleratorsOf(gang.GangShape()) < kMinLargeGangAccelerators;
    case ReclaimScope::kNotUrgent:
      return !gang.Urgent();
    case ReclaimScope::kEveryBorrowed:
      return true;
  }
  return false;
}

std::int64_t
ReclaimSearch::CostOf(std::int32_t aGang) const
{
  if (this->stopping[aGang] != 0) {
    return 0;
  }
  const RunningGang& gang = this->load.Running()[aGang];
  const auto sinceCheckpoint =
    std::chrono::duration_cast<Milliseconds>(this->now - gang.LastCheckpoint());
  const std::int64_t lostWork =
    std::max<std::int64_t>(1, AcceleratorsOf(gang.GangShape())) *
    std::max<std::int64_t>(0, sinceCheckpoint.count());
  const std::int64_t cost = lostWork + kVictimCharge;
  return gang.Urgent() ? cost * kUrgentFactor : cost;
}

AcceleratorMask
ReclaimSearch::MaskOn(std::int32_t aGang, std::int32_t aWorker) const
{
  AcceleratorMask mask = 0;
  for (const MemberPlace& place : this->load.PlacesOf(aGang)) {
    if (place.Worker() == aWorker) {
      mask |= place.Mask();
    }
  }
  return mask;
}

AcceleratorMask
ReclaimSearch::Obtainable(std::int32_t aWorker) const
{
  AcceleratorMask mask = this->occupancy[aWorker].Free();
  for (const std::int32_t gang : this->load.GangsOn(aWorker)) {
    if (this->MayStop(gang)) {
      mask |= this->MaskOn(gang, aWorker);
    }
  }
  return mask & this->occupancy[aWorker].Reclaimable();
}

std::int32_t
ReclaimSearch::MaxMembers(std::int32_t aWorker) const
{
  const WorkerOccupancy& worker = this->occupancy[aWorker];
  return CapacityFor(aWorker,
                     0,
                     worker.ReclaimableCores(),
                     worker.ReclaimableMemory(),
                     this->job)
    .MaxMembers();
}

/** Adds the worker's aligned ranges of the shape's size, cheapest first, up to
 * the number of members that its cores and memory allow. */
void
ReclaimSearch::AddCandidates(std::int32_t aWorker,
                             std::vector<Candidate>& aCandidates) const
{
  const std::int32_t size = this->job.GangShape().AcceleratorsPerMember();
  const AcceleratorMask obtainable = this->Obtainable(aWorker);
  std::vector<Candidate> ranges;
  for (std::int32_t first = 0; first + size <= kMaxAccelerators;
       first += size) {
    const MemberPlace place(aWorker, first, size);
    if ((place.Mask() & ~obtainable) == 0) {
      ranges.emplace_back(0, place);
    }
  }
  std::int32_t previous = -1;
  for (const std::int32_t gang : this->load.GangsOn(aWorker)) {
    if (gang == previous) {
      continue;
    }
    previous = gang;
    const AcceleratorMask mask = this->MaskOn(gang, aWorker);
    for (Candidate& range : ranges) {
      if ((range.Place().Mask() & mask) != 0) {
        range = range.WithCost(this->CostOf(gang));
      }
    }
  }
  std::ranges::sort(ranges);
  const auto members = std::min(
    ranges.size(), static_cast<std::size_t>(this->MaxMembers(aWorker)));
  aCandidates.insert(
    aCandidates.end(), ranges.begin(), ranges.begin() + members);
}

std::vector<MemberPlace>
ReclaimSearch::CheapestPlaces(const Rack& aRack) const
{
  const Shape shape = this->job.GangShape();
  if (shape.AcceleratorsPerMember() == 0) {
    return {};
  }
  std::vector<Candidate> candidates;
  for (std::int32_t worker = aRack.First();
       worker < aRack.First() + aRack.Count();
       ++worker) {
    if (this->occupancy[worker].Reclaimable() != 0) {
      this->AddCandidates(worker, candidates);
    }
  }
  if (std::cmp_less(candidates.size(), shape.Members())) {
    return {};
  }
  std::ranges::sort(candidates);
  std::vector<MemberPlace> places;
  places.reserve(shape.Members());
  for (std::int32_t member = 0; member < shape.Members(); ++member) {
    places.push_back(candidates[member].Place());
  }
  return places;
}

/** Places regardless of their cost, for gangs that aligned ranges cannot hold.
 */
std::vector<MemberPlace>
ReclaimSearch::AnyPlaces(const Rack& aRack) const
{
  std::vector<WorkerCapacity> capacities;
  for (std::int32_t worker = aRack.First();
       worker < aRack.First() + aRack.Count();
       ++worker) {
    capacities.emplace_back(
      worker, this->Obtainable(worker), this->MaxMembers(worker));
  }
  return FitGang(capacities, this->job.GangShape());
}

/** Adds the cheapest victims on the worker until the members' cores and memory
 * are free; false when all victims together are not enough. */
bool
ReclaimSearch::FreeCoresAndMemory(std::int32_t aWorker,
                                  std::int32_t aMembers,
                                  std::vector<std::int32_t>& aVictims) const
{
  std::int64_t cores = this->occupancy[aWorker].FreeCores();
  std::int64_t memory = this->occupancy[aWorker].FreeMemory();
  std::vector<std::pair<std::int64_t, std::int32_t>> others;
  for (const std::int32_t gang : this->load.GangsOn(aWorker)) {
    if (std::ranges::find(aVictims, gang) != aVictims.end()) {
      cores += this->load.Running()[gang].CoresPerMember();
      memory += this->load.Running()[gang].MemoryPerMember();
    } else if (this->MayStop(gang)) {
      others.emplace_back(this->CostOf(gang), gang);
    }
  }
  const std::int64_t requiredCores =
    std::int64_t{ this->job.CoresPerMember() } * aMembers;
  const std::int64_t requiredMemory =
    std::int64_t{ this->job.MemoryPerMember() } * aMembers;
  std::ranges::sort(others);
  for (const auto& [cost, gang] : others) {
    if (cores >= requiredCores && memory >= requiredMemory) {
      break;
    }
    AddVictim(gang, aVictims);
    cores += this->load.Running()[gang].CoresPerMember();
    memory += this->load.Running()[gang].MemoryPerMember();
  }
  return cores >= requiredCores && memory >= requiredMemory;
}

}
