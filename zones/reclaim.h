#pragma once

#include "core/instant.h"
#include "zones/reclaim_plan.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinecourse {

class DataCentreLoad;
class Job;
class WorkerOccupancy;

/** Gangs of at least this many accelerators, a whole worker of today, are
 * large: they find room only where small ones leave it. */
inline constexpr std::int32_t kMinLargeGangAccelerators = 8;

/** Whose borrowed gangs a job may stop. */
enum class ReclaimScope : std::uint8_t
{
  /** Those that are neither urgent nor large. */
  kSmall,
  kNotUrgent,
  kEveryBorrowed
};

/**
 * The plans for the job, one a rack at most, those with the least lost work and
 * the fewest victims first. aOccupancy is that of aLoad with what was decided
 * since; gangs in aStopping cost nothing more.
 */
std::vector<ReclaimPlan>
PlanReclaims(const DataCentreLoad& aLoad,
             const std::vector<WorkerOccupancy>& aOccupancy,
             const std::vector<char>& aStopping,
             const Job& aJob,
             ReclaimScope aScope,
             Instant aNow);

/** The plan for these places; empty when what stands there cannot be stopped.
 */
std::optional<ReclaimPlan>
PlanReclaimAt(const DataCentreLoad& aLoad,
              const std::vector<WorkerOccupancy>& aOccupancy,
              const std::vector<char>& aStopping,
              const Job& aJob,
              ReclaimScope aScope,
              Instant aNow,
              const std::vector<MemberPlace>& aPlaces);

/** The plan with further borrowed gangs of the job's own team, the cheapest
 * first, so that the team gives up aExcess accelerators; empty when it has too
 * few of them. */
std::optional<ReclaimPlan>
AddOwnVictims(const DataCentreLoad& aLoad,
              const std::vector<WorkerOccupancy>& aOccupancy,
              const std::vector<char>& aStopping,
              const Job& aJob,
              ReclaimScope aScope,
              Instant aNow,
              const ReclaimPlan& aPlan,
              std::int32_t aExcess);

}
