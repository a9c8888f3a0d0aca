#pragma once

#include "core/instant.h"

namespace sardinecourse {

class DomainState;
class TaskUnit;

/** Looks over the runs of a domain: gives up those whose workers' leases have
 * run out and those that stand still, and notes workers that are slow. */
class RunMonitor
{
public:
  RunMonitor(DomainState& aDomain, Instant aNow);

  void Run();

private:
  void DropExpiredRuns();
  void WatchProgress();
  void WatchProgressOf(TaskUnit& aUnit, Milliseconds aTypical);

  DomainState* domain;
  Instant now;
};

}
