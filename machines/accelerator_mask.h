#pragma once

#include <cstdint>
#include <optional>

namespace sardinecourse {

/** Accelerators of one worker, one bit each, by index. A worker has at most 64.
 */
using AcceleratorMask = std::uint64_t;

inline constexpr std::int32_t kMaxAccelerators = 64;

/** aCount accelerators from index aFirst. */
AcceleratorMask
RangeMask(std::int32_t aFirst, std::int32_t aCount);

/** Number of accelerators in the mask. */
std::int32_t
CountAccelerators(AcceleratorMask aMask);

/** Most disjoint ranges of aSize consecutive accelerators that the mask holds.
 */
std::int32_t
CountRanges(AcceleratorMask aMask, std::int32_t aSize);

/** First index of the range of aSize that breaks the fewest and smallest
 * aligned power-of-two blocks and leaves room for CountRanges() - 1 others;
 * empty when none fits. */
std::optional<std::int32_t>
FindRange(AcceleratorMask aMask, std::int32_t aSize);

/** Accelerators in aligned power-of-two blocks, summed over all block sizes: a
 * mask that keeps large blocks whole scores higher than one as full but
 * scattered. */
std::int32_t
BlockValue(AcceleratorMask aMask);

}
