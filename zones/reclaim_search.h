#pragma once

#include "core/instant.h"
#include "machines/accelerator_mask.h"
#include "zones/reclaim.h"

#include <optional>
#include <vector>

namespace sardinecourse {

class Rack;

/** One search for the borrowed gangs to preempt for a job. Keeps references to
 * its arguments. */
class ReclaimSearch
{
public:
  ReclaimSearch(const DataCentreLoad& aLoad,
                const std::vector<WorkerOccupancy>& aOccupancy,
                const std::vector<char>& aStopping,
                const Job& aJob,
                ReclaimScope aScope,
                Instant aNow);

  /** The cheapest plan found in the rack; empty when the gang cannot run there.
   */
  std::optional<ReclaimPlan> PlanRack(const Rack& aRack) const;
  /** See PlanReclaimAt(). */
  std::optional<ReclaimPlan> PlanAt(std::vector<MemberPlace> aPlaces) const;
  /** See the function of the same name in zones/reclaim.h. */
  std::optional<ReclaimPlan> AddOwnVictims(const ReclaimPlan& aPlan,
                                           std::int32_t aExcess) const;

private:
  class Candidate;

  bool MayStop(std::int32_t aGang) const;
  std::int64_t CostOf(std::int32_t aGang) const;
  AcceleratorMask MaskOn(std::int32_t aGang, std::int32_t aWorker) const;
  /** Accelerators of the worker that are free or held by gangs that may be
   * stopped. */
  AcceleratorMask Obtainable(std::int32_t aWorker) const;
  std::int32_t MaxMembers(std::int32_t aWorker) const;
  void AddCandidates(std::int32_t aWorker,
                     std::vector<Candidate>& aCandidates) const;
  std::vector<MemberPlace> CheapestPlaces(const Rack& aRack) const;
  std::vector<MemberPlace> AnyPlaces(const Rack& aRack) const;
  bool FreeCoresAndMemory(std::int32_t aWorker,
                          std::int32_t aMembers,
                          std::vector<std::int32_t>& aVictims) const;

  const DataCentreLoad& load;
  const std::vector<WorkerOccupancy>& occupancy;
  const std::vector<char>& stopping;
  const Job& job;
  ReclaimScope scope;
  Instant now;
};

}
