#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "machines/resources.h"
#include "tests/model/idle_wait.h"

#include <map>
#include <vector>

namespace sardinecourse {

class DomainState;
class FleetModel;
class TaskUnit;
class TrackedJob;
struct ModelSettings;

/** Finds the jobs that have nothing running although a unit's dependencies are
 * done, the fleet has room for the unit twice over, and less than half of the
 * fleet is in use. It judges what runs by the fleet, not by the holder. */
class IdleWaitCheck
{
public:
  explicit IdleWaitCheck(const ModelSettings& aSettings);

  void Observe(Instant aNow, DomainState& aDomain, const FleetModel& aFleet);
  /** The jobs that have waited so for at least aTime at the latest
   * observation. */
  std::vector<IdleWait> WaitingFor(Milliseconds aTime) const;

private:
  static Resources UsedOn(const FleetModel& aFleet);
  Resources TotalOf(const FleetModel& aFleet) const;
  const TaskUnit* FindWaiting(TrackedJob& aJob, const FleetModel& aFleet) const;
  bool HasRoomTwice(const TrackedJob& aJob,
                    const TaskUnit& aUnit,
                    const FleetModel& aFleet) const;

  const ModelSettings* settings;
  std::map<JobKey, Instant> idleSince;
  std::map<JobKey, IdleWait> waits;
};

}
