#include "zones/shedding.h"

#include "machines/minion_state.h"
#include "zones/service_pool.h"

#include <algorithm>

namespace sardinecourse {

std::int32_t
UsableSlots(const ServicePool& aPool)
{
  std::int32_t slots = 0;
  for (const ServicePool::MinionStates* part :
       { &aPool.local, &aPool.remote }) {
    for (const auto& minion : *part) {
      slots += minion->Leaving() ? 0 : minion->Share();
    }
  }
  return slots;
}

std::chrono::microseconds
ExpectedWait(std::int32_t aAhead,
             std::int32_t aSlots,
             std::chrono::microseconds aLatency)
{
  return aLatency * (aAhead + 1) / std::max(1, aSlots);
}

bool
ShouldShed(std::chrono::microseconds aWait,
           std::chrono::microseconds aLatency,
           Clock::duration aRemaining)
{
  return aWait + aLatency > aRemaining;
}

}
