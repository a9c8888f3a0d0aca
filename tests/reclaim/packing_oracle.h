#pragma once

#include "contracts/shape.h"
#include "machines/accelerator_mask.h"
#include "zones/rack.h"

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Decides by brute force whether all units fit: exact, but feasible only for
 * small data centres. */
class PackingOracle
{
public:
  PackingOracle(std::vector<Rack> aRacks, std::vector<Shape> aUnits)
    : racks(std::move(aRacks))
    , units(std::move(aUnits))
  {
  }

  bool Fits(const std::vector<AcceleratorMask>& aMasks)
  {
    return this->FitsFrom(0, aMasks);
  }

private:
  bool FitsFrom(std::size_t aUnit, const std::vector<AcceleratorMask>& aMasks)
  {
    if (aUnit == this->units.size()) {
      return true;
    }
    if (!this->failed.insert({ aUnit, aMasks }).second) {
      return false;
    }
    for (const Rack& rack : this->racks) {
      if (this->Place(aUnit, rack, rack.First(), 0, 0, aMasks)) {
        return true;
      }
    }
    return false;
  }

  /** Places this member and the following ones, starting at this worker and
   * accelerator index. */
  bool Place(std::size_t aUnit,
             const Rack& aRack,
             std::int32_t aWorker,
             std::int32_t aFirst,
             std::int32_t aMember,
             const std::vector<AcceleratorMask>& aMasks)
  {
    const Shape shape = this->units[aUnit];
    if (aMember == shape.Members()) {
      return this->FitsFrom(aUnit + 1, aMasks);
    }
    const std::int32_t size = shape.AcceleratorsPerMember();
    std::int32_t first = aFirst;
    for (std::int32_t worker = aWorker; worker < aRack.First() + aRack.Count();
         ++worker) {
      for (; first + size <= kMaxAccelerators; ++first) {
        const AcceleratorMask range = RangeMask(first, size);
        if ((range & ~aMasks[worker]) != 0) {
          continue;
        }
        std::vector<AcceleratorMask> remaining = aMasks;
        remaining[worker] &= ~range;
        if (this->Place(
              aUnit, aRack, worker, first + size, aMember + 1, remaining)) {
          return true;
        }
      }
      first = 0;
    }
    return false;
  }

  std::vector<Rack> racks;
  std::vector<Shape> units;
  /** Unit index and masks for which the units from that index on do not fit, or
   * are being tried. */
  std::set<std::pair<std::size_t, std::vector<AcceleratorMask>>> failed;
};

}
