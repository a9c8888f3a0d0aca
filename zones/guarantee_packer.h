#pragma once

#include "machines/accelerator_mask.h"
#include "zones/guarantee_block.h"
#include "zones/guarantee_unit.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinecourse {

class Rack;

/** One search for guarantee blocks: first-fit decreasing, fullest rack first,
 * with bounded backtracking. */
class GuaranteePacker
{
public:
  GuaranteePacker(const std::vector<Rack>& aRacks,
                  std::vector<AcceleratorMask> aReclaimable,
                  std::vector<GuaranteeUnit> aUnits);

  /** Blocks for all units; empty when the search found no packing within its
   * step limit.
   */
  std::optional<std::vector<GuaranteeBlock>> PackAll();
  /** Blocks for the units that fit when they are placed greedily, largest
   * first. */
  std::vector<GuaranteeBlock> PackGreedily();

private:
  bool PackFrom(std::size_t aUnit);
  bool TryRack(std::size_t aUnit, std::int32_t aRack);
  std::vector<std::int32_t> RacksFor(Shape aShape) const;
  std::vector<MemberPlace> Allocate(Shape aShape, std::int32_t aRack);
  void Release(const std::vector<MemberPlace>& aPlaces, std::int32_t aRack);
  void CountRack(std::int32_t aRack);
  std::vector<AcceleratorMask> SortedMasks(std::int32_t aRack) const;
  std::size_t SizeIndex(Shape aShape) const;

  const std::vector<Rack>& racks;
  std::vector<AcceleratorMask> masks;
  std::vector<GuaranteeUnit> units;
  std::vector<GuaranteeBlock> blocks;
  std::vector<std::int32_t> sizes;
  /** Number of members that a rack can take, by index into sizes and by rack.
   */
  std::vector<std::vector<std::int32_t>> memberCounts;
  std::int32_t steps = 0;
};

}
