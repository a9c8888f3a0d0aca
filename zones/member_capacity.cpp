#include "zones/member_capacity.h"

#include "contracts/job.h"

#include <algorithm>

namespace sardinecourse {

WorkerCapacity
CapacityFor(std::int32_t aWorker,
            AcceleratorMask aAccelerators,
            std::int32_t aCores,
            std::int32_t aMemory,
            const Job& aJob)
{
  std::int32_t members = aJob.GangShape().Members();
  if (aJob.CoresPerMember() > 0) {
    members = std::min(members, aCores / aJob.CoresPerMember());
  }
  if (aJob.MemoryPerMember() > 0) {
    members = std::min(members, aMemory / aJob.MemoryPerMember());
  }
  return { aWorker, aAccelerators, members };
}

}
