#include "zones/rack_value.h"

namespace sardinecourse {

std::int64_t
RackValue(std::span<const AcceleratorMask> aFree,
          std::int32_t aAcceleratorsPerWorker,
          const std::vector<Shape>& aReferences)
{
  std::int64_t value = 0;
  std::int32_t freeWorkers = 0;
  for (const AcceleratorMask free : aFree) {
    value += BlockValue(free);
    if (free != 0 && CountAccelerators(free) >= aAcceleratorsPerWorker) {
      ++freeWorkers;
    }
  }
  for (std::int32_t members = 2; members <= freeWorkers; members *= 2) {
    const std::int32_t gangs = freeWorkers / members;
    value += std::int64_t{ gangs } * members * aAcceleratorsPerWorker;
  }
  for (const Shape shape : aReferences) {
    value += UsableFor(aFree, shape);
  }
  return value;
}

std::int32_t
UsableFor(std::span<const AcceleratorMask> aFree, Shape aShape)
{
  if (aShape.AcceleratorsPerMember() == 0) {
    return 0;
  }
  std::int32_t members = 0;
  for (const AcceleratorMask free : aFree) {
    members += CountRanges(free, aShape.AcceleratorsPerMember());
  }
  const std::int32_t gangs = members / aShape.Members();
  return gangs * aShape.Members() * aShape.AcceleratorsPerMember();
}

}
