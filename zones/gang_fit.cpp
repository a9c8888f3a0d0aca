#include "zones/gang_fit.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sardinecourse {

namespace {

void
TakeMembers(const WorkerCapacity& aRoom,
            Shape aShape,
            std::vector<MemberPlace>& aPlaces)
{
  const std::int32_t size = aShape.AcceleratorsPerMember();
  AcceleratorMask left = aRoom.Accelerators();
  std::int32_t members = CountMembers(aRoom, size);
  for (; members > 0; --members) {
    if (std::cmp_equal(aPlaces.size(), aShape.Members())) {
      return;
    }
    const std::int32_t first =
      size == 0 ? 0 : FindRange(left, size).value_or(0);
    aPlaces.emplace_back(aRoom.Worker(), first, size);
    left &= ~RangeMask(first, size);
  }
}

}

std::int32_t
CountMembers(const WorkerCapacity& aRoom, std::int32_t aAccelerators)
{
  if (aAccelerators == 0) {
    return aRoom.MaxMembers();
  }
  return std::min(aRoom.MaxMembers(),
                  CountRanges(aRoom.Accelerators(), aAccelerators));
}

std::vector<MemberPlace>
FitGang(std::vector<WorkerCapacity>& aRooms, Shape aShape)
{
  std::int32_t members = 0;
  for (const WorkerCapacity& room : aRooms) {
    members += CountMembers(room, aShape.AcceleratorsPerMember());
  }
  if (members < aShape.Members()) {
    return {};
  }
  std::sort(aRooms.begin(),
            aRooms.end(),
            [](const WorkerCapacity& aLeft, const WorkerCapacity& aRight) {
              const std::int32_t left = BlockValue(aLeft.Accelerators());
              const std::int32_t right = BlockValue(aRight.Accelerators());
              return std::pair(left, aLeft.Worker()) <
                     std::pair(right, aRight.Worker());
            });
  std::vector<MemberPlace> places;
  places.reserve(aShape.Members());
  for (const WorkerCapacity& room : aRooms) {
    TakeMembers(room, aShape, places);
  }
  return places;
}

}
