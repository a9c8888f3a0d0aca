#pragma once

#include "contracts/domain_policy.h"
#include "core/instant.h"
#include "core/wall_time.h"
#include "zones/domain_reclaim.h"
#include "zones/pace/pace_preference.h"
#include "zones/pass_decisions.h"
#include "zones/placement_view.h"
#include "zones/waiting_group.h"
#include "zones/waits/wait_reason.h"

#include <map>
#include <optional>
#include <vector>

namespace sardinecourse {

class DomainState;
class PreemptionReservations;
class TrackedJob;
class JobStep;
class TaskUnit;

/** One scheduling pass over a domain: gives up runs whose leases have expired,
 * stops runs that are not needed any more, and starts waiting units as far as
 * resources allow. Groups are served by priority and then by age. A guaranteed
 * job that would otherwise start too late has runs of lower priority stopped.
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
  void StopUnneeded();
  void StopMembers(TrackedJob& aJob, TaskUnit& aUnit);
  std::vector<WaitingGroup> WaitingGroups() const;
  void CollectWaiting(const TrackedJob& aJob,
                      std::vector<WaitingGroup>& aGroups) const;
  /** Whether an occurrence of the job is due. */
  bool IsDue(const TrackedJob& aJob, std::int32_t aOccurrence) const;
  /** Numbers of the units of one step in one occurrence that wait for
   * placement. Subtracts the tasks of those that were never placed from
   * aNewTasksLeft, the number of tasks that may be placed for the first time.
   */
  static std::vector<std::int32_t> WaitingUnits(const TrackedJob& aJob,
                                                std::int32_t aOccurrence,
                                                std::int32_t aStep,
                                                std::int64_t& aNewTasksLeft);
  void Serve(const WaitingGroup& aGroup);
  void ServeGang(TrackedJob& aJob, TaskUnit& aUnit, const UnitRef& aRef);
  void ServeTasks(TrackedJob& aJob,
                  TaskUnit& aFirst,
                  const UnitRef& aFirstRef,
                  const WaitingGroup& aGroup);
  bool IsOverdueInAmpleRoom(const TrackedJob& aJob,
                            TaskUnit& aUnit,
                            const UnitRef& aRef);
  /** Notes whether there is ample room for the unit, and returns whether it has
   * waited in ample room for as long as it may. */
  bool IsOverdue(const JobStep& aStep, TaskUnit& aUnit, bool aHasRoom) const;
  /** Number of the waiting units of independent tasks that have to start in
   * ample room now; moves these to the front of aUnits. */
  std::int32_t CountOverdueTasks(TrackedJob& aJob,
                                 TaskUnit& aFirst,
                                 const UnitRef& aFirstRef,
                                 std::vector<std::int32_t>& aUnits);
  bool IsDeferrable(const TrackedJob& aJob, const JobStep& aStep) const;
  static Milliseconds ShareOfSlack(const TrackedJob& aJob,
                                   Milliseconds aRunTime,
                                   double aShare);
  std::int32_t MaxTasksWithinHeadroom(const TrackedJob& aJob,
                                      const JobStep& aStep);
  void Start(TrackedJob& aJob,
             TaskUnit& aUnit,
             const std::vector<WorkerName>& aPlaces);
  /** Places for all tasks of the unit; sets aReason when it has to wait for the
   * rack that it prefers. */
  std::optional<std::vector<WorkerName>> PlaceGang(const TrackedJob& aJob,
                                                   const TaskUnit& aUnit,
                                                   const UnitRef& aRef,
                                                   bool aIsOverdue,
                                                   WaitReason& aReason);
  void NoteWait(TrackedJob& aJob, const TaskUnit& aUnit, WaitReason aReason);
  Milliseconds Waited(const TrackedJob& aJob) const;
  /** Which pace the unit's workers should have. */
  PacePreference PaceFor(const TrackedJob& aJob, const TaskUnit& aUnit) const;
  /** How long a job may wait for the rack that it prefers. */
  Milliseconds MaxLocalityWait(const TrackedJob& aJob,
                               const JobStep& aStep) const;

  DomainState* domain;
  PreemptionReservations* reservations;
  Instant now;
  WallTime wallTime;
  DomainPolicy policy;
  PlacementView view;
  DomainReclaim reclaim;
  PassDecisions decisions;
};

}
