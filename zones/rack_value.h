#pragma once

#include "contracts/shape.h"
#include "machines/accelerator_mask.h"

#include <cstdint>
#include <span>
#include <vector>

namespace sardinecourse {

/**
 * Rates how much of a rack's free accelerators (one mask per worker) large
 * gangs can use: the sum of the accelerators in aligned power-of-two blocks
 * within workers, in groups of 2, 4, 8 ... entirely free workers, and in gangs
 * of the reference shapes. Of two racks with equally many free accelerators,
 * the less fragmented one has the higher value.
 */
std::int64_t
RackValue(std::span<const AcceleratorMask> aFree,
          std::int32_t aAcceleratorsPerWorker,
          const std::vector<Shape>& aReferences);

/** Number of free accelerators of a rack that gangs of the shape can use. */
std::int32_t
UsableFor(std::span<const AcceleratorMask> aFree, Shape aShape);

}
