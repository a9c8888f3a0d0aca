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

/** Gangs of at least this many accelerators are large. A current worker has 8;
 * a gang that needs whole workers can start only where small gangs leave them
 * free. */
inline constexpr std::int32_t kMinLargeGangAccelerators = 8;

/** Whose borrowed gangs a job may stop. */
enum class ReclaimScope : std::uint8_t
{
  /** Gangs that are neither urgent nor large. */
  kSmall,
  kNotUrgent,
  /** Urgent gangs too. */
  kEveryBorrowed
};

/**
 * Plans that free accelerators for the job, at most one per rack, in ascending
 * order of cost. aOccupancy is the occupancy of aLoad plus the decisions made
 * since; gangs marked in aStopping, by gang index, add no cost because they
 * stop anyway.
 */
std::vector<ReclaimPlan>
PlanReclaims(const DataCentreLoad& aLoad,
             const std::vector<WorkerOccupancy>& aOccupancy,
             const std::vector<char>& aStopping,
             const Job& aJob,
             ReclaimScope aScope,
             Instant aNow);

/** The plan for these places; empty when a gang there may not be stopped or the
 * worker lacks cores or memory.
 */
std::optional<ReclaimPlan>
PlanReclaimAt(const DataCentreLoad& aLoad,
              const std::vector<WorkerOccupancy>& aOccupancy,
              const std::vector<char>& aStopping,
              const Job& aJob,
              ReclaimScope aScope,
              Instant aNow,
              const std::vector<MemberPlace>& aPlaces);

/** Extends the plan by borrowed gangs of the job's own team, the cheapest
 * first, until the team releases aExcess accelerators; empty when it has too
 * few such gangs. */
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
