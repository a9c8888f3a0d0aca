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

/** Has less urgent runs of a domain stopped in favour of urgent units, and
 * holds the room that they leave. */
class DomainReclaim
{
public:
  /** A unit that is not due yet has work stopped up to aMaxPreemptionWaste
   * times its own, both in core-seconds. */
  DomainReclaim(DomainState& aDomain,
                PreemptionReservations& aReservations,
                PlacementView& aView,
                Instant aNow,
                double aMaxPreemptionWaste);

  void ReclaimFor(const TrackedJob& aJob, TaskUnit& aUnit, const UnitRef& aRef);

  /** Runs that were stopped although they had done work. */
  const std::vector<PreemptedUnit>& Preempted() const
  {
    return this->preempted;
  }

private:
  bool IsGuaranteed(const TrackedJob& aJob) const;
  /** Runs of less urgent jobs, and the units that they belong to. */
  std::vector<PreemptibleRun> PreemptibleBy(const TrackedJob& aJob,
                                            std::vector<UnitRef>& aUnits) const;
  void Preempt(const UnitRef& aUnit, const UnitRef& aInFavourOf, double aWaste);
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
