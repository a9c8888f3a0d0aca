#pragma once

#include <cstdint>
#include <optional>

namespace sardinecourse {

/** Set of accelerators of one worker: bit i is accelerator i. A worker has at
 * most 64. */
using AcceleratorMask = std::uint64_t;

inline constexpr std::int32_t kMaxAccelerators = 64;

/** Mask of aCount accelerators from index aFirst; 0 when aCount is not
 * positive. */
AcceleratorMask
RangeMask(std::int32_t aFirst, std::int32_t aCount);

/** Number of accelerators in the mask. */
std::int32_t
CountAccelerators(AcceleratorMask aMask);

/** Maximum number of disjoint ranges of aSize consecutive accelerators in the
 * mask. */
std::int32_t
CountRanges(AcceleratorMask aMask, std::int32_t aSize);

/** First index of the range of aSize accelerators that breaks the fewest and
 * smallest aligned power-of-two blocks and leaves CountRanges() - 1 other
 * ranges free; empty when no range fits. */
std::optional<std::int32_t>
FindRange(AcceleratorMask aMask, std::int32_t aSize);

/** Number of accelerators in complete aligned power-of-two blocks, summed over
 * all block sizes. A mask with large complete blocks scores higher than a
 * scattered mask of as many accelerators. */
std::int32_t
BlockValue(AcceleratorMask aMask);

}
