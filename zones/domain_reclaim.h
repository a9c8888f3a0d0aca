#pragma once

#include "core/instant.h"
#include "zones/preempted_unit.h"

#include <vector>

namespace sardinecourse {

class DomainBook;
class FreeView;
class HeldRoom;
class JobBook;
class TaskUnit;
struct PreemptibleRun;
struct UnitRef;

/** Has less urgent runs of a domain stopped in favour of urgent units, and
 * holds the room that they leave. */
class DomainReclaim
{
public:
  /** A unit that is not due yet has work stopped up to aMostWaste times its
   * own, both in core-seconds. */
  DomainReclaim(DomainBook& aBook,
                HeldRoom& aHeld,
                FreeView& aView,
                Instant aNow,
                double aMostWaste);

  void ReclaimFor(const JobBook& aJob, TaskUnit& aUnit, const UnitRef& aRef);

  /** Runs that were stopped although they had done work. */
  const std::vector<PreemptedUnit>& Preempted() const
  {
    return this->preempted;
  }

private:
  bool IsGuaranteed(const JobBook& aJob) const;
  /** Runs of less urgent jobs, and the units that they belong to. */
  std::vector<PreemptibleRun> PreemptibleBy(const JobBook& aJob,
                                            std::vector<UnitRef>& aUnits) const;
  void Preempt(const UnitRef& aUnit, const UnitRef& aInFavourOf, double aWaste);
  PreemptibleRun PreemptibleRunOf(const JobBook& aJob,
                                  const TaskUnit& aUnit) const;

  DomainBook* book;
  HeldRoom* held;
  FreeView* view;
  Instant now;
  double mostWaste;
  std::vector<PreemptedUnit> preempted;
};

}
