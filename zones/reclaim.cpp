#include "zones/reclaim.h"

#include "zones/data_centre_load.h"
#include "zones/reclaim_search.h"

#include <algorithm>

namespace sardinecourse {

std::vector<ReclaimPlan>
PlanReclaims(const DataCentreLoad& aLoad,
             const std::vector<WorkerOccupancy>& aOccupancy,
             const std::vector<char>& aStopping,
             const Job& aJob,
             ReclaimScope aScope,
             Instant aNow)
{
  const ReclaimSearch search(aLoad, aOccupancy, aStopping, aJob, aScope, aNow);
  std::vector<ReclaimPlan> plans;
  for (const Rack& rack : aLoad.Racks()) {
    std::optional<ReclaimPlan> plan = search.PlanRack(rack);
    if (plan) {
      plans.push_back(std::move(*plan));
    }
  }
  std::ranges::sort(plans);
  return plans;
}

std::optional<ReclaimPlan>
PlanReclaimAt(const DataCentreLoad& aLoad,
              const std::vector<WorkerOccupancy>& aOccupancy,
              const std::vector<char>& aStopping,
              const Job& aJob,
              ReclaimScope aScope,
              Instant aNow,
              const std::vector<MemberPlace>& aPlaces)
{
  return ReclaimSearch(aLoad, aOccupancy, aStopping, aJob, aScope, aNow)
    .PlanAt(aPlaces);
}

std::optional<ReclaimPlan>
AddOwnVictims(const DataCentreLoad& aLoad,
              const std::vector<WorkerOccupancy>& aOccupancy,
              const std::vector<char>& aStopping,
              const Job& aJob,
              ReclaimScope aScope,
              Instant aNow,
              const ReclaimPlan& aPlan,
              std::int32_t aExcess)
{
  return ReclaimSearch(aLoad, aOccupancy, aStopping, aJob, aScope, aNow)
    .AddOwnVictims(aPlan, aExcess);
}

}
