#include "machines/accelerator_mask.h"

#include <bit>

namespace sardinecourse {

AcceleratorMask
RangeMask(std::int32_t aFirst, std::int32_t aCount)
{
  if (aCount <= 0) {
    return 0;
  }
  const AcceleratorMask ones = ~AcceleratorMask{ 0 };
  return (ones >> (kMaxAccelerators - aCount)) << aFirst;
}

std::int32_t
CountAccelerators(AcceleratorMask aMask)
{
  return std::popcount(aMask);
}

std::int32_t
CountRanges(AcceleratorMask aMask, std::int32_t aSize)
{
  std::int32_t ranges = 0;
  AcceleratorMask rest = aMask;
  while (rest != 0) {
    const int first = std::countr_zero(rest);
    const int length = std::countr_one(rest >> first);
    ranges += length / aSize;
    rest &= ~RangeMask(first, length);
  }
  return ranges;
}

std::optional<std::int32_t>
FindRange(AcceleratorMask aMask, std::int32_t aSize)
{
  const std::int32_t ranges = CountRanges(aMask, aSize);
  if (ranges == 0) {
    return std::nullopt;
  }
  std::optional<std::int32_t> best;
  std::int32_t bestValue = -1;
  const int last = kMaxAccelerators - std::countl_zero(aMask) - aSize;
  for (int first = std::countr_zero(aMask); first <= last; ++first) {
    const AcceleratorMask range = RangeMask(first, aSize);
    if ((aMask & range) != range) {
      continue;
    }
    const AcceleratorMask rest = aMask & ~range;
    const std::int32_t value = BlockValue(rest);
    if (value > bestValue && CountRanges(rest, aSize) == ranges - 1) {
      best = first;
      bestValue = value;
    }
  }
  return best;
}

std::int32_t
BlockValue(AcceleratorMask aMask)
{
  // Indices at which an aligned block of 2, 4, 8, 16, 32 and 64 accelerators
  // may start. The mask contains a block when it contains both halves.
  constexpr AcceleratorMask kAligned[] = {
    0x5555555555555555U, 0x1111111111111111U, 0x0101010101010101U,
    0x0001000100010001U, 0x0000000100000001U, 0x0000000000000001U
  };
  std::int32_t size = 1;
  std::int32_t value = std::popcount(aMask);
  AcceleratorMask starts = aMask;
  for (const AcceleratorMask aligned : kAligned) {
    starts &= (starts >> size) & aligned;
    if (starts == 0) {
      break;
    }
    size *= 2;
    value += size * std::popcount(starts);
  }
  return value;
}

}
