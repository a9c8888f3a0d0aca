#include "zones/guarantee_packer.h"

#include "zones/gang_fit.h"
#include "zones/rack.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sardinecourse {

namespace {

/** Bounds the time of one search. When it is exceeded, a settings change is
 * refused, and a guaranteed job is placed in its own block. */
constexpr std::int32_t kMaxSteps = 2000;

bool
IsLarger(const GuaranteeUnit& aLeft, const GuaranteeUnit& aRight)
{
  const Shape left = aLeft.GangShape();
  const Shape right = aRight.GangShape();
  return std::tuple(right.AcceleratorsPerMember(), right.Members(), aLeft) <
         std::tuple(left.AcceleratorsPerMember(), left.Members(), aRight);
}

}

GuaranteePacker::GuaranteePacker(const std::vector<Rack>& aRacks,
                                 std::vector<AcceleratorMask> aReclaimable,
                                 std::vector<GuaranteeUnit> aUnits)
  : racks(aRacks)
  , masks(std::move(aReclaimable))
  , units(std::move(aUnits))
{
  std::sort(this->units.begin(), this->units.end(), IsLarger);
  for (const GuaranteeUnit& unit : this->units) {
    const std::int32_t size = unit.GangShape().AcceleratorsPerMember();
    if (this->sizes.empty() || this->sizes.back() != size) {
      this->sizes.push_back(size);
    }
  }
  this->memberCounts.assign(this->sizes.size(),
                            std::vector<std::int32_t>(this->racks.size()));
  for (std::size_t rack = 0; rack < this->racks.size(); ++rack) {
    this->CountRack(static_cast<std::int32_t>(rack));
  }
}

std::optional<std::vector<GuaranteeBlock>>
GuaranteePacker::PackAll()
{
  if (!this->PackFrom(0)) {
    return std::nullopt;
  }
  return this->blocks;
}

std::vector<GuaranteeBlock>
GuaranteePacker::PackGreedily()
{
  for (const GuaranteeUnit& unit : this->units) {
    const std::vector<std::int32_t> candidates =
      this->RacksFor(unit.GangShape());
    if (candidates.empty()) {
      continue;
    }
    this->blocks.emplace_back(
      unit.Team(),
      unit.GangShape(),
      this->Allocate(unit.GangShape(), candidates.front()));
  }
  return this->blocks;
}

bool
GuaranteePacker::PackFrom(std::size_t aUnit)
{
  if (aUnit == this->units.size()) {
    return true;
  }
  std::vector<std::vector<AcceleratorMask>> tried;
  for (const std::int32_t rack :
       this->RacksFor(this->units[aUnit].GangShape())) {
    if (!tried.empty() &&
        std::find(tried.begin(), tried.end(), this->SortedMasks(rack)) !=
          tried.end()) {
      continue;
    }
    if (this->TryRack(aUnit, rack)) {
      return true;
    }
    if (++this->steps > kMaxSteps) {
      return false;
    }
    tried.push_back(this->SortedMasks(rack));
  }
  return false;
}

bool
GuaranteePacker::TryRack(std::size_t aUnit, std::int32_t aRack)
{
  const GuaranteeUnit& unit = this->units[aUnit];
  std::vector<MemberPlace> places = this->Allocate(unit.GangShape(), aRack);
  this->blocks.emplace_back(unit.Team(), unit.GangShape(), places);
  if (this->PackFrom(aUnit + 1)) {
    return true;
  }
  this->blocks.pop_back();
  this->Release(places, aRack);
  return false;
}

/** Racks that can take the shape, those with the fewest remaining members
 * first. */
std::vector<std::int32_t>
GuaranteePacker::RacksFor(Shape aShape) const
{
  const std::vector<std::int32_t>& members =
    this->memberCounts[this->SizeIndex(aShape)];
  std::vector<std::int32_t> candidates;
  for (std::size_t rack = 0; rack < members.size(); ++rack) {
    if (members[rack] >= aShape.Members()) {
      candidates.push_back(static_cast<std::int32_t>(rack));
    }
  }
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [&members](std::int32_t aLeft, std::int32_t aRight) {
                     return members[aLeft] < members[aRight];
                   });
  return candidates;
}

std::vector<MemberPlace>
GuaranteePacker::Allocate(Shape aShape, std::int32_t aRack)
{
  const Rack& rack = this->racks[aRack];
  std::vector<WorkerCapacity> capacities;
  capacities.reserve(rack.Count());
  for (std::int32_t worker = rack.First(); worker < rack.First() + rack.Count();
       ++worker) {
    capacities.emplace_back(worker, this->masks[worker], aShape.Members());
  }
  std::vector<MemberPlace> places = FitGang(capacities, aShape);
  for (const MemberPlace& place : places) {
    this->masks[place.Worker()] &= ~place.Mask();
  }
  this->CountRack(aRack);
  return places;
}

void
GuaranteePacker::Release(const std::vector<MemberPlace>& aPlaces,
                         std::int32_t aRack)
{
  for (const MemberPlace& place : aPlaces) {
    this->masks[place.Worker()] |= place.Mask();
  }
  this->CountRack(aRack);
}

void
GuaranteePacker::CountRack(std::int32_t aRack)
{
  const Rack& rack = this->racks[aRack];
  for (std::size_t size = 0; size < this->sizes.size(); ++size) {
    std::int32_t members = 0;
    for (std::int32_t worker = rack.First();
         worker < rack.First() + rack.Count();
         ++worker) {
      members += CountRanges(this->masks[worker], this->sizes[size]);
    }
    this->memberCounts[size][aRack] = members;
  }
}

/** Key under which racks are interchangeable, so that PackFrom() tries only one
 * of those with equal keys. */
std::vector<AcceleratorMask>
GuaranteePacker::SortedMasks(std::int32_t aRack) const
{
  const Rack& rack = this->racks[aRack];
  std::vector<AcceleratorMask> sorted(this->masks.begin() + rack.First(),
                                      this->masks.begin() + rack.First() +
                                        rack.Count());
  std::sort(sorted.begin(), sorted.end());
  return sorted;
}

std::size_t
GuaranteePacker::SizeIndex(Shape aShape) const
{
  return std::find(this->sizes.begin(),
                   this->sizes.end(),
                   aShape.AcceleratorsPerMember()) -
         this->sizes.begin();
}

}
