#pragma once

#include "core/instant.h"
#include "core/wall_time.h"
#include "zones/preempted_unit.h"

#include <optional>
#include <vector>

namespace sardinecourse {

class DomainState;
class JobStep;
class PlacementView;
class PreemptionReservations;
class TrackedJob;
class TaskUnit;
struct PreemptibleRun;
struct StopChoice;
struct StopLimits;
struct UnitRef;

/** Makes room for urgent units of a domain: stops less urgent runs where that
 * lets the unit be in time, and reserves the resources that these runs, and
 * runs that are about to end, set free. */
class DomainReclaim
{
public:
  /** A unit that need not be served at any cost may have runs stopped while
   * their lost work is at most aMaxPreemptionWaste times the work of the unit
   * itself, both in core-seconds. */
  DomainReclaim(DomainState& aDomain,
                PreemptionReservations& aReservations,
                PlacementView& aView,
                Instant aNow,
                WallTime aWallTime,
                double aMaxPreemptionWaste);

  void ReclaimFor(const TrackedJob& aJob, TaskUnit& aUnit, const UnitRef& aRef);

  /** Runs that were stopped after they had done work. */
  const std::vector<PreemptedUnit>& Preempted() const
  {
    return this->preempted;
  }

private:
  /** Whether the unit has to begin now for the reclaim time of its job. */
  bool IsReclaimDue(const TrackedJob& aJob, const TaskUnit& aUnit) const;
  /** Additional run time away from the rack that the step prefers, in multiples
   * of its estimate. */
  double Slowdown(const JobStep& aStep, bool aIsLocal) const;
  /** Time since the unit's job arrived, or since its occurrence was due. */
  Milliseconds Waited(const TrackedJob& aJob, const TaskUnit& aUnit) const;
  /** How long the start of the unit may wait so that its job can still be in
   * time; negative when it cannot. */
  Milliseconds Slack(const TrackedJob& aJob,
                     const TaskUnit& aUnit,
                     bool aIsLocal) const;
  /** What may be lost in favour of the unit; empty when it must not be
   * favoured. */
  std::optional<StopLimits> LimitsFor(const TrackedJob& aJob,
                                      const TaskUnit& aUnit,
                                      bool aIsLocal) const;
  /** Runs whose resources the unit may get; aUnits receives the unit of each
   * run, at the same position. */
  std::vector<PreemptibleRun> RunsFor(const TrackedJob& aJob,
                                      std::vector<UnitRef>& aUnits) const;
  PreemptibleRun PreemptibleRunOf(const TrackedJob& aJob,
                                  const TaskUnit& aUnit) const;
  void Apply(const StopChoice& aChoice,
             const TrackedJob& aJob,
             const UnitRef& aRef,
             const JobStep& aStep,
             const std::vector<UnitRef>& aUnits,
             const std::vector<PreemptibleRun>& aRuns);
  void Preempt(const UnitRef& aUnit,
               const UnitRef& aInFavourOf,
               double aLostWork);

  DomainState* domain;
  PreemptionReservations* reservations;
  PlacementView* view;
  Instant now;
  WallTime wallTime;
  double maxPreemptionWaste;
  std::vector<PreemptedUnit> preempted;
};

}
