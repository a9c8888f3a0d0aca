#include "zones/rack_order.h"

#include "machines/worker.h"
#include "zones/rack.h"

#include <algorithm>

namespace sardinecourse {

std::vector<Worker>
SortByRack(std::vector<Worker> aWorkers)
{
  std::stable_sort(aWorkers.begin(),
                   aWorkers.end(),
                   [](const Worker& aLeft, const Worker& aRight) {
                     return aLeft.Rack() < aRight.Rack();
                   });
  return aWorkers;
}

std::vector<Rack>
RacksOf(const std::vector<Worker>& aWorkers)
{
  std::vector<Rack> racks;
  std::size_t first = 0;
  for (std::size_t next = 1; next <= aWorkers.size(); ++next) {
    if (next < aWorkers.size() &&
        aWorkers[next].Rack() == aWorkers[first].Rack()) {
      continue;
    }
    racks.emplace_back(aWorkers[first].Rack(),
                       static_cast<std::int32_t>(first),
                       static_cast<std::int32_t>(next - first));
    first = next;
  }
  return racks;
}

}
