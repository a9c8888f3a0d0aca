#pragma once

#include "contracts/shape.h"
#include "core/instant.h"
#include "machines/worker_occupancy.h"
#include "zones/free_place_search.h"
#include "zones/guarantee_block.h"
#include "zones/quota_usage.h"
#include "zones/reclaim.h"
#include "zones/reservations.h"
#include "zones/schedule_decision.h"

#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class DataCentreLoad;
class PlacementWeights;
class WaitingJob;

/** The state of one Schedule() call: the load and the decisions made so far.
 * Keeps references to aLoad and aWeights. */
class SchedulingPass
{
public:
  SchedulingPass(const DataCentreLoad& aLoad,
                 const PlacementWeights& aWeights,
                 std::vector<Shape> aReferences,
                 Instant aNow);

  SchedulingPass(const SchedulingPass&) = delete;
  SchedulingPass& operator=(const SchedulingPass&) = delete;
  ~SchedulingPass() = default;

  /** Decides one job and adds the result to Decision(); called once per job, in
   * the order of OrderJobs(). */
  void Decide(const WaitingJob& aJob);
  ScheduleDecision Decision() const;

private:
  bool DecideGuaranteed(const WaitingJob& aJob, std::int32_t aTeam);
  bool StartBorrowed(const WaitingJob& aJob, std::int32_t aTeam);
  bool Consolidate(const WaitingJob& aJob, std::int32_t aTeam);
  bool Reserve(const WaitingJob& aJob);
  bool ReclaimUrgent(const WaitingJob& aJob, std::int32_t aTeam);
  std::optional<ReclaimPlan> AddVictimsForQuota(const WaitingJob& aJob,
                                                std::int32_t aTeam,
                                                ReclaimScope aScope,
                                                const ReclaimPlan& aPlan) const;
  bool StartGuaranteed(const WaitingJob& aJob,
                       std::int32_t aTeam,
                       std::size_t aBlock);
  bool ReclaimGuaranteed(const WaitingJob& aJob,
                         std::int32_t aTeam,
                         std::size_t aBlock);

  std::optional<std::size_t> FindBlock(const WaitingJob& aJob,
                                       std::int32_t aTeam) const;
  bool IsWithinShare(const WaitingJob& aJob,
                     const std::vector<MemberPlace>& aPlaces) const;

  void Start(const WaitingJob& aJob,
             std::int32_t aTeam,
             const std::vector<MemberPlace>& aPlaces,
             bool aIsGuaranteed,
             std::string aText);
  void Preempt(const WaitingJob& aJob,
               std::int32_t aTeam,
               const ReclaimPlan& aPlan,
               const std::string& aPurpose);
  void Wait(const WaitingJob& aJob, std::string aText);
  void Allocate(const WaitingJob& aJob,
                std::int32_t aTeam,
                const std::vector<MemberPlace>& aPlaces,
                bool aIsGuaranteed);

  const DataCentreLoad& load;
  const PlacementWeights& weights;
  Instant now;
  std::vector<WorkerOccupancy> occupancy;
  QuotaUsage quotas;
  Reservations reservations;
  FreePlaceSearch search;
  std::int32_t reservationCount = 0;
  std::vector<char> stopping;
  std::vector<GuaranteeBlock> blocks;
  std::vector<GangStart> starts;
  std::vector<Preemption> preemptions;
  std::vector<JobWait> waits;
};

}
