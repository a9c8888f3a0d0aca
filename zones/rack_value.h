#pragma once

#include "contracts/shape.h"
#include "machines/accelerator_mask.h"

#include <cstdint>
#include <span>
#include <vector>

namespace sardinecourse {

/**
 * What large gangs can still use of a rack's free accelerators: accelerators in
 * aligned blocks within workers, in powers of two of whole workers, and in the
 * reference shapes, each summed. Of two racks with as many free, the one that
 * is less scattered has the higher value.
 */
std::int64_t
RackValue(std::span<const AcceleratorMask> aFree,
          std::int32_t aAcceleratorsPerWorker,
          const std::vector<Shape>& aReferences);

/** Free accelerators of a rack that gangs of the shape can use. */
std::int32_t
UsableFor(std::span<const AcceleratorMask> aFree, Shape aShape);

}
