#include "zones/quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace sardinecourse {

namespace {

/** At most one worker in this many is quarantined, so that a fault that all
 * workers share does not empty the pool. */
constexpr std::size_t kPoolPerQuarantined = 4;

}

std::vector<WorkerName>
SelectQuarantined(const std::vector<WorkerHealth>& aHealth,
                  std::size_t aPool,
                  Instant aNow)
{
  std::vector<WorkerHealth> candidates;
  std::ranges::copy_if(aHealth,
                       std::back_inserter(candidates),
                       [aNow](const WorkerHealth& aWorker) {
                         return aWorker.IsQuarantined(aNow);
                       });
  std::ranges::sort(candidates, [](const auto& aLeft, const auto& aRight) {
    return std::tuple(aRight.Failures(), aLeft.Worker()) <
           std::tuple(aLeft.Failures(), aRight.Worker());
  });
  std::vector<WorkerName> quarantined;
  for (const WorkerHealth& worker : candidates) {
    if (quarantined.size() == aPool / kPoolPerQuarantined) {
      break;
    }
    quarantined.push_back(worker.Worker());
  }
  return quarantined;
}

}
