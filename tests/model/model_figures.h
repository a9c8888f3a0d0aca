#pragma once

#include "tests/model/idle_wait.h"
#include "tests/model/kind_figures.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Results of one policy on the jobs of one seed. */
struct ModelFigures
{
  std::map<std::string, KindFigures> kinds;
  /** Credit earned and possible credit, by second of arrival. */
  std::map<int, std::pair<double, double>> bySecond;
  double lostCoreSeconds = 0.0;
  /** Free accelerators over time, and those of them on partly used workers. */
  double freeAcceleratorSeconds = 0.0;
  double fragmentedAcceleratorSeconds = 0.0;
  int preempted = 0;
  /** Units that finished, and those of them that ran remote (away from their
   * data rack, or across racks although they prefer one). */
  int unitsDone = 0;
  int remoteUnits = 0;
  /** Jobs that waited although there was room, for the last three seconds of
   * the simulation. */
  std::vector<IdleWait> idleWaits;
  /** Weighted shares of the possible credit that were earned (in total and by
   * the worst kind), minus the cost of lost work. */
  double worth = 0.0;

  double Fragmentation() const
  {
    return this->freeAcceleratorSeconds == 0.0
             ? 0.0
             : this->fragmentedAcceleratorSeconds /
                 this->freeAcceleratorSeconds;
  }

  bool operator==(const ModelFigures&) const = default;
};

}
