#pragma once

#include "contracts/domain_policy.h"
#include "core/instant.h"
#include "core/wall_time.h"
#include "zones/domain_orders.h"
#include "zones/domain_reclaim.h"
#include "zones/free_view.h"
#include "zones/waiting_group.h"

#include <map>
#include <optional>
#include <vector>

namespace sardinecourse {

class DomainBook;
class HeldRoom;
class JobBook;
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
  DomainPass(DomainBook& aBook,
             HeldRoom& aHeld,
             Instant aNow,
             WallTime aWallTime,
             DomainPolicy aPolicy = DomainPolicy());

  DomainOrders Run();

private:
  void StopUnwanted();
  void StopMembers(JobBook& aJob, TaskUnit& aUnit);
  std::vector<WaitingGroup> Waiting() const;
  void CollectWaiting(const JobBook& aJob,
                      std::vector<WaitingGroup>& aGroups) const;
  bool IsWaiting(const JobBook& aJob, const TaskUnit& aUnit) const;
  void Serve(const WaitingGroup& aGroup);
  void ServeGang(JobBook& aJob, TaskUnit& aUnit, const UnitRef& aRef);
  void ServeTasks(JobBook& aJob, const WaitingGroup& aGroup);
  bool CanWait(const JobBook& aJob, const JobStep& aStep) const;
  static Milliseconds PartOfSlack(const JobBook& aJob,
                                  Milliseconds aRunTime,
                                  double aPart);
  std::int32_t MostBesideUrgent(const JobBook& aJob, const JobStep& aStep);
  void Start(JobBook& aJob,
             TaskUnit& aUnit,
             const std::vector<WorkerName>& aPlaces);
  std::optional<std::vector<WorkerName>> PlaceGang(const JobBook& aJob,
                                                   const TaskUnit& aUnit,
                                                   const UnitRef& aRef);
  Milliseconds Waited(const JobBook& aJob) const;
  /** How long a job may wait for the rack it prefers. */
  Milliseconds NearPatience(const JobBook& aJob, const JobStep& aStep) const;

  DomainBook* book;
  HeldRoom* held;
  Instant now;
  WallTime wallTime;
  DomainPolicy policy;
  FreeView view;
  DomainReclaim reclaim;
  DomainOrders orders;
};

}
