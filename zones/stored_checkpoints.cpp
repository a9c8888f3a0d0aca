#include "zones/stored_checkpoints.h"

namespace sardinecourse {

void
KeepCheckpointsWithin(std::vector<UnitPlacement>& aPlacements,
                      std::size_t aMaxBytes)
{
  std::size_t left = aMaxBytes;
  for (const bool areRunning : { false, true }) {
    for (UnitPlacement& placement : aPlacements) {
      if (placement.workers.empty() == areRunning) {
        continue;
      }
      if (placement.saved.size() > left) {
        placement.saved.clear();
      }
      left -= placement.saved.size();
    }
  }
}

}
