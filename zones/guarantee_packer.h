#pragma once

#include "machines/accelerator_mask.h"
#include "zones/guarantee_block.h"
#include "zones/guarantee_unit.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinecourse {

class Rack;

/** One search for blocks: first-fit decreasing over the tightest racks, with
 * bounded backtracking. */
class GuaranteePacker
{
public:
  GuaranteePacker(const std::vector<Rack>& aRacks,
                  std::vector<AcceleratorMask> aReclaimable,
                  std::vector<GuaranteeUnit> aUnits);

  /** Blocks for all units; empty when the search found none within its bound.
   */
  std::optional<std::vector<GuaranteeBlock>> PackAll();
  /** Blocks for as many units as fit one after the other, largest first. */
  std::vector<GuaranteeBlock> PackSome();

private:
  bool PackFrom(std::size_t aUnit);
  bool TryRack(std::size_t aUnit, std::int32_t aRack);
  std::vector<std::int32_t> RacksFor(Shape aShape) const;
  std::vector<MemberPlace> Take(Shape aShape, std::int32_t aRack);
  void GiveBack(const std::vector<MemberPlace>& aPlaces, std::int32_t aRack);
  void CountRack(std::int32_t aRack);
  std::vector<AcceleratorMask> SortedMasks(std::int32_t aRack) const;
  std::size_t SizeIndex(Shape aShape) const;

  const std::vector<Rack>& racks;
  std::vector<AcceleratorMask> masks;
  std::vector<GuaranteeUnit> units;
  std::vector<GuaranteeBlock> blocks;
  std::vector<std::int32_t> sizes;
  /** Members that each rack can take, by size and rack. */
  std::vector<std::vector<std::int32_t>> room;
  std::int32_t steps = 0;
};

}
