#pragma once

#include "core/instant.h"

#include <vector>

namespace sardinecourse {

class DomainState;
class TaskUnit;
struct GivenUpRuns;

/** Checks the runs of a domain: gives up runs whose worker's lease has expired
 * and runs that make no progress, and penalises slow workers. */
class RunMonitor
{
public:
  RunMonitor(DomainState& aDomain, Instant aNow);

  /** Returns the runs that were given up because of a lease, by worker. */
  std::vector<GivenUpRuns> Run();

private:
  std::vector<GivenUpRuns> DropExpiredRuns();
  void CheckProgress();
  void CheckProgressOf(TaskUnit& aUnit, Milliseconds aTypical);

  DomainState* domain;
  Instant now;
};

}
