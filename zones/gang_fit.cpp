#include "zones/gang_fit.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sardinecourse {

namespace {

void
PlaceMembers(const WorkerCapacity& aCapacity,
             Shape aShape,
             std::vector<MemberPlace>& aPlaces)
{
  const std::int32_t size = aShape.AcceleratorsPerMember();
  AcceleratorMask remaining = aCapacity.Accelerators();
  std::int32_t members = CountMembers(aCapacity, size);
  for (; members > 0; --members) {
    if (std::cmp_equal(aPlaces.size(), aShape.Members())) {
      return;
    }
    const std::int32_t first =
      size == 0 ? 0 : FindRange(remaining, size).value_or(0);
    aPlaces.emplace_back(aCapacity.Worker(), first, size);
    remaining &= ~RangeMask(first, size);
  }
}

}

std::int32_t
CountMembers(const WorkerCapacity& aCapacity, std::int32_t aAccelerators)
{
  if (aAccelerators == 0) {
    return aCapacity.MaxMembers();
  }
  return std::min(aCapacity.MaxMembers(),
                  CountRanges(aCapacity.Accelerators(), aAccelerators));
}

std::vector<MemberPlace>
FitGang(std::vector<WorkerCapacity>& aCapacities, Shape aShape)
{
  std::int32_t members = 0;
  for (const WorkerCapacity& capacity : aCapacities) {
    members += CountMembers(capacity, aShape.AcceleratorsPerMember());
  }
  if (members < aShape.Members()) {
    return {};
  }
  std::sort(aCapacities.begin(),
            aCapacities.end(),
            [](const WorkerCapacity& aLeft, const WorkerCapacity& aRight) {
              const std::int32_t left = BlockValue(aLeft.Accelerators());
              const std::int32_t right = BlockValue(aRight.Accelerators());
              return std::pair(left, aLeft.Worker()) <
                     std::pair(right, aRight.Worker());
            });
  std::vector<MemberPlace> places;
  places.reserve(aShape.Members());
  for (const WorkerCapacity& capacity : aCapacities) {
    PlaceMembers(capacity, aShape, places);
  }
  return places;
}

}
