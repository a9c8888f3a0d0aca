#pragma once

#include "core/instant.h"
#include "machines/accelerator_mask.h"
#include "zones/reclaim.h"

#include <optional>
#include <vector>

namespace sardinecourse {

class Rack;

/** One search for the borrowed gangs that a job should displace. */
class ReclaimSearch
{
public:
  ReclaimSearch(const DataCentreLoad& aLoad,
                const std::vector<WorkerOccupancy>& aOccupancy,
                const std::vector<char>& aStopping,
                const Job& aJob,
                ReclaimScope aScope,
                Instant aNow);

  std::optional<ReclaimPlan> PlanRack(const Rack& aRack) const;
  std::optional<ReclaimPlan> PlanAt(std::vector<MemberPlace> aPlaces) const;
  std::optional<ReclaimPlan> AddOwnVictims(const ReclaimPlan& aPlan,
                                           std::int32_t aExcess) const;

private:
  class Candidate;

  bool MayStop(std::int32_t aGang) const;
  std::int64_t CostOf(std::int32_t aGang) const;
  AcceleratorMask MaskOn(std::int32_t aGang, std::int32_t aWorker) const;
  /** Accelerators that are free or can be made free. */
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
  ReclaimScope reach;
  Instant now;
};

}
