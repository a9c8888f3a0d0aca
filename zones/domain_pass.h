#pragma once

#include "contracts/domain_policy.h"
#include "core/instant.h"
#include "core/wall_time.h"
#include "zones/domain_reclaim.h"
#include "zones/pass_decisions.h"
#include "zones/placement_view.h"
#include "zones/waiting_group.h"

#include <map>
#include <optional>
#include <vector>

namespace sardinecourse {

class DomainState;
class PreemptionReservations;
class TrackedJob;
class JobStep;
class TaskUnit;

/**
 * One pass over a domain: gives up what has lapsed, stops what is not wanted,
 * and starts what waits, as room allows. Groups are served by priority and then
 * by age; a guaranteed job that would start too late has lower ones stopped.
 */
class DomainPass
{
public:
  DomainPass(DomainState& aDomain,
             PreemptionReservations& aReservations,
             Instant aNow,
             WallTime aWallTime,
             DomainPolicy aPolicy = DomainPolicy());

  PassDecisions Run();

private:
  void StopUnwanted();
  void StopMembers(TrackedJob& aJob, TaskUnit& aUnit);
  std::vector<WaitingGroup> Waiting() const;
  void CollectWaiting(const TrackedJob& aJob,
                      std::vector<WaitingGroup>& aGroups) const;
  bool IsWaiting(const TrackedJob& aJob, const TaskUnit& aUnit) const;
  void Serve(const WaitingGroup& aGroup);
  void ServeGang(TrackedJob& aJob, TaskUnit& aUnit, const UnitRef& aRef);
  void ServeTasks(TrackedJob& aJob, const WaitingGroup& aGroup);
  bool CanWait(const TrackedJob& aJob, const JobStep& aStep) const;
  static Milliseconds PartOfSlack(const TrackedJob& aJob,
                                  Milliseconds aRunTime,
                                  double aPart);
  std::int32_t MaxBesideUrgent(const TrackedJob& aJob, const JobStep& aStep);
  void Start(TrackedJob& aJob,
             TaskUnit& aUnit,
             const std::vector<WorkerName>& aPlaces);
  std::optional<std::vector<WorkerName>> PlaceGang(const TrackedJob& aJob,
                                                   const TaskUnit& aUnit,
                                                   const UnitRef& aRef);
  Milliseconds Waited(const TrackedJob& aJob) const;
  /** How long a job may wait for the rack it prefers. */
  Milliseconds LocalityWaitShare(const TrackedJob& aJob,
                                 const JobStep& aStep) const;

  DomainState* domain;
  PreemptionReservations* reservations;
  Instant now;
  WallTime wallTime;
  DomainPolicy policy;
  PlacementView view;
  DomainReclaim reclaim;
  PassDecisions orders;
};

}
