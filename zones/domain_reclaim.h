#pragma once

#include "core/instant.h"
#include "zones/preempted_unit.h"

#include <vector>

namespace sardinecourse {

class DomainState;
class PlacementView;
class PreemptionReservations;
class TrackedJob;
class TaskUnit;
struct PreemptibleRun;
struct UnitRef;

/** Stops less urgent runs of a domain in favour of urgent units, and reserves
 * the resources that they free. */
class DomainReclaim
{
public:
  /** A unit whose reclaim is not due yet may have runs stopped while their lost
   * work is at most aMaxPreemptionWaste times the work of the unit itself, both
   * in core-seconds. */
  DomainReclaim(DomainState& aDomain,
                PreemptionReservations& aReservations,
                PlacementView& aView,
                Instant aNow,
                double aMaxPreemptionWaste);

  void ReclaimFor(const TrackedJob& aJob, TaskUnit& aUnit, const UnitRef& aRef);

  /** Runs that were stopped after they had done work. */
  const std::vector<PreemptedUnit>& Preempted() const
  {
    return this->preempted;
  }

private:
  bool IsGuaranteed(const TrackedJob& aJob) const;
  /** Runs of less urgent jobs; aUnits receives the unit of each run, at the
   * same position. */
  std::vector<PreemptibleRun> PreemptibleBy(const TrackedJob& aJob,
                                            std::vector<UnitRef>& aUnits) const;
  void Preempt(const UnitRef& aUnit,
               const UnitRef& aInFavourOf,
               double aLostWork);
  PreemptibleRun PreemptibleRunOf(const TrackedJob& aJob,
                                  const TaskUnit& aUnit) const;

  DomainState* domain;
  PreemptionReservations* reservations;
  PlacementView* view;
  Instant now;
  double maxPreemptionWaste;
  std::vector<PreemptedUnit> preempted;
};

}
