#include "contracts/service_catalog.h"

#include <algorithm>

namespace sardinecourse {

const JobQueue*
ServiceCatalog::FindQueue(std::string_view aAuthority,
                          std::string_view aPath) const
{
  const JobQueue* best = nullptr;
  for (const JobQueue& queue : this->queues) {
    const bool isMatch =
      queue.Authority() == aAuthority && aPath.starts_with(queue.PathPrefix());
    if (isMatch && (best == nullptr ||
                    queue.PathPrefix().size() > best->PathPrefix().size())) {
      best = &queue;
    }
  }
  return best;
}

const TeamAccess*
ServiceCatalog::FindTeam(std::string_view aKey) const
{
  for (const TeamAccess& team : this->teams) {
    const auto& keys = team.Keys();
    if (std::find(keys.begin(), keys.end(), aKey) != keys.end()) {
      return &team;
    }
  }
  return nullptr;
}

}
