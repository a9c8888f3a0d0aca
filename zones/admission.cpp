#include "zones/admission.h"

#include "contracts/job.h"
#include "core/reason.h"
#include "machines/worker_occupancy.h"
#include "zones/data_centre.h"
#include "zones/gang_fit.h"
#include "zones/member_capacity.h"
#include "zones/rack.h"
#include "zones/rack_order.h"

#include <algorithm>
#include <string>

namespace sardinecourse {

namespace {

Reason
Refuse(const Job& aJob, std::string aText)
{
  return { Step::kAdmission, aJob.Key().Text(), std::move(aText) };
}

bool
IsWithinQuota(const DataCentre& aDataCentre, const Job& aJob, Reason& aReason)
{
  const auto team =
    std::ranges::find(aDataCentre.Teams(), aJob.Team(), [](const Team& aTeam) {
      return aTeam.Name();
    });
  if (team == aDataCentre.Teams().end()) {
    aReason = Refuse(aJob,
                     "team " + aJob.Team().Text() + " is unknown in " +
                       aDataCentre.Name().Text());
    return false;
  }
  const Shape shape = aJob.GangShape();
  const std::int64_t requested =
    std::int64_t{ shape.Members() } * shape.AcceleratorsPerMember();
  if (requested > team->Quota()) {
    aReason =
      Refuse(aJob,
             std::to_string(requested) + " accelerators exceed the quota of " +
               std::to_string(team->Quota()));
    return false;
  }
  return true;
}

}

bool
CanEverRun(const DataCentre& aDataCentre, const Job& aJob, Reason& aReason)
{
  if (!IsWithinQuota(aDataCentre, aJob, aReason)) {
    return false;
  }
  const Shape shape = aJob.GangShape();
  const std::vector<Worker> workers = SortByRack(aDataCentre.Workers());
  std::int32_t maxMembers = 0;
  for (const Rack& rack : RacksOf(workers)) {
    std::int32_t members = 0;
    for (std::int32_t worker = rack.First();
         worker < rack.First() + rack.Count();
         ++worker) {
      const WorkerOccupancy idle(workers[worker]);
      members += CountMembers(
        CapacityFor(worker, idle.Free(), idle.Cores(), idle.Memory(), aJob),
        shape.AcceleratorsPerMember());
    }
    maxMembers = std::max(maxMembers, members);
  }
  if (maxMembers == 0) {
    aReason =
      Refuse(aJob,
             "no worker has " + std::to_string(shape.AcceleratorsPerMember()) +
               " accelerators, " + std::to_string(aJob.CoresPerMember()) +
               " cores and " + std::to_string(aJob.MemoryPerMember()) + " MB");
    return false;
  }
  if (maxMembers < shape.Members()) {
    aReason = Refuse(aJob,
                     std::to_string(shape.Members()) +
                       " members fit in no rack; the largest takes " +
                       std::to_string(maxMembers));
    return false;
  }
  return true;
}

}
