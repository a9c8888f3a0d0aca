#pragma once

#include "core/instant.h"

namespace sardinecourse {

class DomainState;
class TaskUnit;

/** Checks the runs of a domain: gives up runs whose worker's lease has expired
 * and runs that make no progress, and penalises slow workers. */
class RunMonitor
{
public:
  RunMonitor(DomainState& aDomain, Instant aNow);

  void Run();

private:
  void DropExpiredRuns();
  void CheckProgress();
  void CheckProgressOf(TaskUnit& aUnit, Milliseconds aTypical);

  DomainState* domain;
  Instant now;
};

}
