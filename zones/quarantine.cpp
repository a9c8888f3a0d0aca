#include "zones/quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace sardinecourse {

namespace {

/** At most one worker of this many is quarantined. */
constexpr std::size_t kPoolPerQuarantined = 4;

}

std::vector<WorkerName>
SelectQuarantined(const std::vector<WorkerHealth>& aHealth,
                  std::size_t aPool,
                  Instant aNow)
{
  std::vector<WorkerHealth> worst;
  std::ranges::copy_if(
    aHealth, std::back_inserter(worst), [aNow](const WorkerHealth& aWorker) {
      return aWorker.IsQuarantined(aNow);
    });
  std::ranges::sort(worst, [](const auto& aLeft, const auto& aRight) {
    return std::tuple(aRight.Failures(), aLeft.Worker()) <
           std::tuple(aLeft.Failures(), aRight.Worker());
  });
  std::vector<WorkerName> quarantined;
  for (const WorkerHealth& worker : worst) {
    if (quarantined.size() == aPool / kPoolPerQuarantined) {
      break;
    }
    quarantined.push_back(worker.Worker());
  }
  return quarantined;
}

}
