#include "zones/data_centre_load_builder.h"

#include "core/reason.h"
#include "zones/guarantee_packing.h"
#include "zones/rack_order.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace sardinecourse {

DataCentreLoadBuilder&
DataCentreLoadBuilder::DataCentre(DataCentreName aDataCentre)
{
  this->value.dataCentre = std::move(aDataCentre);
  return *this;
}

DataCentreLoadBuilder&
DataCentreLoadBuilder::Workers(std::vector<Worker> aWorkers)
{
  this->value.workers = SortByRack(std::move(aWorkers));
  return *this;
}

DataCentreLoadBuilder&
DataCentreLoadBuilder::Teams(std::vector<Team> aTeams)
{
  this->value.teams = std::move(aTeams);
  return *this;
}

DataCentreLoadBuilder&
DataCentreLoadBuilder::Running(std::vector<RunningGang> aRunning)
{
  this->value.running = std::move(aRunning);
  return *this;
}

DataCentreLoadBuilder&
DataCentreLoadBuilder::Unavailable(std::vector<WorkerName> aUnavailable)
{
  this->value.unavailable = std::move(aUnavailable);
  return *this;
}

std::optional<DataCentreLoad>
DataCentreLoadBuilder::Build(Reason& aReason) const
{
  if (this->value.dataCentre.Empty()) {
    aReason = Reason(Step::kPlacement,
                     "",
                     "a data centre load needs the name of its data centre");
    return std::nullopt;
  }
  DataCentreLoad load = this->value;
  load.racks = RacksOf(load.workers);
  IndexMembers(load);
  IndexWorkers(load);
  IndexTeams(load);
  AssignGuarantees(load);
  FillOccupancy(load);
  return load;
}

/** Resolves worker names to indices once, so that decisions compare no names.
 */
void
DataCentreLoadBuilder::IndexMembers(DataCentreLoad& aLoad)
{
  std::unordered_map<WorkerName, std::int32_t> byName;
  byName.reserve(aLoad.workers.size());
  for (std::size_t worker = 0; worker < aLoad.workers.size(); ++worker) {
    byName.emplace(aLoad.workers[worker].Name(),
                   static_cast<std::int32_t>(worker));
    aLoad.occupancy.emplace_back(aLoad.workers[worker]);
  }
  for (const WorkerName& name : aLoad.unavailable) {
    const auto worker = byName.find(name);
    if (worker != byName.end()) {
      aLoad.occupancy[worker->second] =
        aLoad.occupancy[worker->second].Unavailable();
    }
  }
  aLoad.firstPlaces.push_back(0);
  for (const RunningGang& gang : aLoad.running) {
    for (const AcceleratorRange& range : gang.Placement().Members()) {
      const auto worker = byName.find(range.Worker());
      if (worker != byName.end()) {
        aLoad.places.emplace_back(worker->second, range.First(), range.Count());
      }
    }
    aLoad.firstPlaces.push_back(static_cast<std::int32_t>(aLoad.places.size()));
  }
}

void
DataCentreLoadBuilder::IndexWorkers(DataCentreLoad& aLoad)
{
  aLoad.firstGangs.assign(aLoad.workers.size() + 1, 0);
  for (const MemberPlace& place : aLoad.places) {
    ++aLoad.firstGangs[place.Worker() + 1];
  }
  for (std::size_t worker = 0; worker < aLoad.workers.size(); ++worker) {
    aLoad.firstGangs[worker + 1] += aLoad.firstGangs[worker];
  }
  std::vector<std::int32_t> next = aLoad.firstGangs;
  aLoad.gangs.resize(aLoad.places.size());
  for (std::size_t gang = 0; gang < aLoad.running.size(); ++gang) {
    const auto index = static_cast<std::int32_t>(gang);
    for (const MemberPlace& place : aLoad.PlacesOf(index)) {
      aLoad.gangs[next[place.Worker()]++] = index;
    }
  }
}

void
DataCentreLoadBuilder::IndexTeams(DataCentreLoad& aLoad)
{
  std::unordered_map<TeamName, std::int32_t> byName;
  for (std::size_t team = 0; team < aLoad.teams.size(); ++team) {
    byName.emplace(aLoad.teams[team].Name(), static_cast<std::int32_t>(team));
  }
  aLoad.held.assign(aLoad.teams.size(), 0);
  aLoad.gangTeams.reserve(aLoad.running.size());
  for (const RunningGang& gang : aLoad.running) {
    const auto team = byName.find(gang.Team());
    if (team == byName.end()) {
      aLoad.gangTeams.push_back(-1);
      continue;
    }
    aLoad.gangTeams.push_back(team->second);
    const Shape shape = gang.GangShape();
    aLoad.held[team->second] += shape.Members() * shape.AcceleratorsPerMember();
  }
}

/** Counts gangs of a guaranteed shape as guaranteed, in the order of
 * FindCandidates(), as long as all remaining guarantees still fit next to them.
 * A gang on the only accelerators that fit another team's guarantee counts as
 * borrowed.
 */
void
DataCentreLoadBuilder::AssignGuarantees(DataCentreLoad& aLoad)
{
  const std::vector<GuaranteeUnit> units = UnitsOf(aLoad.teams);
  const std::vector<std::int32_t> candidates = FindCandidates(aLoad);
  std::vector<std::int32_t> accepted;
  std::vector<GuaranteeUnit> remaining = units;
  for (const std::int32_t candidate : candidates) {
    if (RemoveUnit(aLoad, candidate, remaining)) {
      accepted.push_back(candidate);
    }
  }
  std::size_t met = PackAround(aLoad, accepted, units);
  if (met < units.size()) {
    met = AcceptOneByOne(aLoad, candidates, units);
  }
  aLoad.unmetGuarantees = static_cast<std::int32_t>(units.size() - met);
}

/** Accepts the candidates one at a time and skips each that would leave another
 * guarantee without a block. */
std::size_t
DataCentreLoadBuilder::AcceptOneByOne(
  DataCentreLoad& aLoad,
  const std::vector<std::int32_t>& aCandidates,
  const std::vector<GuaranteeUnit>& aUnits)
{
  std::vector<std::int32_t> accepted;
  std::vector<GuaranteeUnit> remaining = aUnits;
  std::size_t met = PackAround(aLoad, accepted, aUnits);
  for (const std::int32_t candidate : aCandidates) {
    std::vector<GuaranteeUnit> remainingAfter = remaining;
    if (!RemoveUnit(aLoad, candidate, remainingAfter)) {
      continue;
    }
    accepted.push_back(candidate);
    const std::size_t metWithCandidate = PackAround(aLoad, accepted, aUnits);
    if (metWithCandidate < met) {
      accepted.pop_back();
      continue;
    }
    met = metWithCandidate;
    remaining = std::move(remainingAfter);
  }
  return PackAround(aLoad, accepted, aUnits);
}

bool
DataCentreLoadBuilder::RemoveUnit(const DataCentreLoad& aLoad,
                                  std::int32_t aGang,
                                  std::vector<GuaranteeUnit>& aRemaining)
{
  const GuaranteeUnit unitOfGang(aLoad.gangTeams[aGang],
                                 aLoad.running[aGang].GangShape());
  const auto unit = std::ranges::find(aRemaining, unitOfGang);
  if (unit == aRemaining.end()) {
    return false;
  }
  aRemaining.erase(unit);
  return true;
}

/** Gangs that could count as guaranteed: those that use the fewest accelerators
 * of available workers first, then the oldest. */
std::vector<std::int32_t>
DataCentreLoadBuilder::FindCandidates(const DataCentreLoad& aLoad)
{
  std::vector<std::tuple<std::int32_t, Instant, JobKey, std::int32_t>> ranked;
  for (std::size_t index = 0; index < aLoad.running.size(); ++index) {
    const auto gang = static_cast<std::int32_t>(index);
    if (!CanBeGuaranteed(aLoad, gang)) {
      continue;
    }
    std::int32_t usedAccelerators = 0;
    for (const MemberPlace& place : aLoad.PlacesOf(gang)) {
      usedAccelerators += CountAccelerators(
        place.Mask() & aLoad.occupancy[place.Worker()].Usable());
    }
    ranked.emplace_back(usedAccelerators,
                        aLoad.running[gang].Started(),
                        aLoad.running[gang].Key(),
                        gang);
  }
  std::ranges::sort(ranked);
  std::vector<std::int32_t> candidates;
  candidates.reserve(ranked.size());
  for (const auto& [usedAccelerators, started, key, gang] : ranked) {
    candidates.push_back(gang);
  }
  return candidates;
}

bool
DataCentreLoadBuilder::CanBeGuaranteed(const DataCentreLoad& aLoad,
                                       std::int32_t aGang)
{
  const std::int32_t team = aLoad.gangTeams[aGang];
  if (team < 0) {
    return false;
  }
  const RunningGang& gang = aLoad.running[aGang];
  const auto isGuaranteed = [&gang](const Guarantee& aGuarantee) {
    return aGuarantee.GangShape() == gang.GangShape();
  };
  if (std::ranges::none_of(aLoad.teams[team].Guarantees(), isGuaranteed)) {
    return false;
  }
  return std::ranges::all_of(
    aLoad.PlacesOf(aGang), [&](const MemberPlace& aPlace) {
      return WorkerOccupancy(aLoad.workers[aPlace.Worker()])
        .IsWithinShare(
          aPlace.Count(), gang.CoresPerMember(), gang.MemoryPerMember());
    });
}

/** Marks the gangs as guaranteed and packs the remaining units around them.
 * Returns the number of units that have a gang or a block. */
std::size_t
DataCentreLoadBuilder::PackAround(DataCentreLoad& aLoad,
                                  const std::vector<std::int32_t>& aGuaranteed,
                                  const std::vector<GuaranteeUnit>& aUnits)
{
  std::vector<AcceleratorMask> masks;
  masks.reserve(aLoad.workers.size());
  for (const WorkerOccupancy& worker : aLoad.occupancy) {
    masks.push_back(worker.Usable());
  }
  std::vector<GuaranteeUnit> units = aUnits;
  aLoad.guaranteed.assign(aLoad.running.size(), 0);
  for (const std::int32_t gang : aGuaranteed) {
    aLoad.guaranteed[gang] = 1;
    for (const MemberPlace& place : aLoad.PlacesOf(gang)) {
      masks[place.Worker()] &= ~place.Mask();
    }
    const GuaranteeUnit held(aLoad.gangTeams[gang],
                             aLoad.running[gang].GangShape());
    units.erase(std::find(units.begin(), units.end(), held));
  }
  aLoad.guaranteeBlocks =
    PackGuarantees(aLoad.racks, std::move(masks), std::move(units));
  return aGuaranteed.size() + aLoad.guaranteeBlocks.size();
}

void
DataCentreLoadBuilder::FillOccupancy(DataCentreLoad& aLoad)
{
  for (std::size_t gang = 0; gang < aLoad.running.size(); ++gang) {
    const auto index = static_cast<std::int32_t>(gang);
    const std::int32_t cores = aLoad.running[gang].CoresPerMember();
    const std::int32_t memory = aLoad.running[gang].MemoryPerMember();
    for (const MemberPlace& place : aLoad.PlacesOf(index)) {
      WorkerOccupancy& worker = aLoad.occupancy[place.Worker()];
      worker = aLoad.IsGuaranteed(index)
                 ? worker.WithGuaranteed(place.Mask(), cores, memory)
                 : worker.WithBorrowed(place.Mask(), cores, memory);
    }
  }
}

}
