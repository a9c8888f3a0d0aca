#include "zones/guarantee_packing.h"

#include "core/reason.h"
#include "machines/worker_occupancy.h"
#include "zones/data_centre.h"
#include "zones/guarantee_packer.h"
#include "zones/rack.h"
#include "zones/rack_order.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sardinecourse {

namespace {

bool
Overlap(const std::vector<MemberPlace>& aLeft,
        const std::vector<MemberPlace>& aRight)
{
  return std::ranges::any_of(aLeft, [&aRight](const MemberPlace& aPlace) {
    return std::ranges::any_of(aRight, [&aPlace](const MemberPlace& aOther) {
      return aPlace.Worker() == aOther.Worker() &&
             (aPlace.Mask() & aOther.Mask()) != 0;
    });
  });
}

std::string
Describe(Shape aShape)
{
  return std::to_string(aShape.Members()) + " members of " +
         std::to_string(aShape.AcceleratorsPerMember()) + " accelerators";
}

bool
IsWithinQuota(const Team& aTeam, Reason& aReason)
{
  std::int64_t guaranteed = 0;
  for (const Guarantee& guarantee : aTeam.Guarantees()) {
    const Shape shape = guarantee.GangShape();
    guaranteed += std::int64_t{ guarantee.Count() } * shape.Members() *
                  shape.AcceleratorsPerMember();
  }
  if (guaranteed <= aTeam.Quota()) {
    return true;
  }
  aReason = Reason(Step::kSettings,
                   aTeam.Name().Text(),
                   "guarantees of " + std::to_string(guaranteed) +
                     " accelerators exceed the quota of " +
                     std::to_string(aTeam.Quota()));
  return false;
}

/** The first unit, in order, that has no block. */
const GuaranteeUnit*
FindUnpacked(const std::vector<GuaranteeUnit>& aUnits,
             std::vector<GuaranteeBlock> aBlocks)
{
  for (const GuaranteeUnit& unit : aUnits) {
    const auto isOfUnit = [&unit](const GuaranteeBlock& aBlock) {
      return aBlock.Team() == unit.Team() &&
             aBlock.GangShape() == unit.GangShape();
    };
    const auto block = std::find_if(aBlocks.begin(), aBlocks.end(), isOfUnit);
    if (block == aBlocks.end()) {
      return &unit;
    }
    aBlocks.erase(block);
  }
  return nullptr;
}

}

std::vector<GuaranteeBlock>
PackGuarantees(const std::vector<Rack>& aRacks,
               std::vector<AcceleratorMask> aReclaimable,
               std::vector<GuaranteeUnit> aUnits)
{
  if (aUnits.empty()) {
    return {};
  }
  GuaranteePacker packer(aRacks, aReclaimable, aUnits);
  std::optional<std::vector<GuaranteeBlock>> blocks = packer.PackAll();
  if (blocks) {
    return std::move(*blocks);
  }
  GuaranteePacker greedyPacker(
    aRacks, std::move(aReclaimable), std::move(aUnits));
  return greedyPacker.PackGreedily();
}

std::optional<std::vector<GuaranteeBlock>>
RepackAround(const std::vector<Rack>& aRacks,
             const std::vector<WorkerOccupancy>& aOccupancy,
             const std::vector<GuaranteeBlock>& aBlocks,
             std::size_t aStarted,
             const std::vector<MemberPlace>& aPlaces)
{
  std::vector<GuaranteeBlock> remaining = aBlocks;
  remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(aStarted));
  const auto overlapsPlaces = [&aPlaces](const GuaranteeBlock& aOther) {
    return Overlap(aOther.Places(), aPlaces);
  };
  if (std::ranges::none_of(remaining, overlapsPlaces)) {
    return remaining;
  }
  std::vector<AcceleratorMask> masks;
  masks.reserve(aOccupancy.size());
  for (const WorkerOccupancy& worker : aOccupancy) {
    masks.push_back(worker.Reclaimable());
  }
  for (const MemberPlace& place : aPlaces) {
    masks[place.Worker()] &= ~place.Mask();
  }
  std::vector<GuaranteeUnit> units;
  units.reserve(remaining.size());
  for (const GuaranteeBlock& block : remaining) {
    units.emplace_back(block.Team(), block.GangShape());
  }
  std::vector<GuaranteeBlock> packed =
    PackGuarantees(aRacks, std::move(masks), std::move(units));
  if (packed.size() < remaining.size()) {
    return std::nullopt;
  }
  return packed;
}

std::vector<GuaranteeUnit>
UnitsOf(const std::vector<Team>& aTeams)
{
  std::vector<GuaranteeUnit> units;
  for (std::size_t team = 0; team < aTeams.size(); ++team) {
    for (const Guarantee& guarantee : aTeams[team].Guarantees()) {
      if (guarantee.GangShape().AcceleratorsPerMember() == 0) {
        continue;
      }
      units.insert(
        units.end(),
        guarantee.Count(),
        GuaranteeUnit(static_cast<std::int32_t>(team), guarantee.GangShape()));
    }
  }
  return units;
}

bool
GuaranteesFit(const DataCentre& aDataCentre, Reason& aReason)
{
  for (const Team& team : aDataCentre.Teams()) {
    if (!IsWithinQuota(team, aReason)) {
      return false;
    }
  }
  const std::vector<Worker> workers = SortByRack(aDataCentre.Workers());
  std::vector<AcceleratorMask> masks;
  std::int64_t accelerators = 0;
  for (const Worker& worker : workers) {
    masks.push_back(RangeMask(0, worker.Accelerators()));
    accelerators += worker.Accelerators();
  }
  const std::vector<GuaranteeUnit> units = UnitsOf(aDataCentre.Teams());
  if (std::cmp_greater(units.size(), accelerators)) {
    aReason = Reason(Step::kSettings,
                     aDataCentre.Name().Text(),
                     "more guaranteed gangs than accelerators");
    return false;
  }
  const std::vector<GuaranteeBlock> blocks =
    PackGuarantees(RacksOf(workers), std::move(masks), units);
  const GuaranteeUnit* unpacked = FindUnpacked(units, blocks);
  if (unpacked == nullptr) {
    return true;
  }
  aReason = Reason(Step::kSettings,
                   aDataCentre.Teams()[unpacked->Team()].Name().Text(),
                   "the racks of " + aDataCentre.Name().Text() +
                     " cannot guarantee " + Describe(unpacked->GangShape()) +
                     " together with all other guarantees");
  return false;
}

}
