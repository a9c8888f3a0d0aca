#include "zones/slot_share.h"

#include <algorithm>

namespace sardinecourse {

std::int32_t
SlotShare(std::int32_t aSlots,
          std::int32_t aLiveHosts,
          std::optional<std::int32_t> aPeersInFlight)
{
  const std::int32_t equal =
    std::max(1, aSlots / std::max<std::int32_t>(1, aLiveHosts));
  if (!aPeersInFlight) {
    return equal;
  }
  const std::int32_t surplus = aSlots - *aPeersInFlight - equal;
  return equal + std::max(0, surplus) / 2;
}

}
