#pragma once

#include "tests/model/kind_figures.h"

#include <map>
#include <string>
#include <utility>

namespace sardinecourse {

/** What one policy came to with the jobs of one seed. */
struct ModelFigures
{
  std::map<std::string, KindFigures> kinds;
  /** Credit earned and owed by the second of arrival. */
  std::map<int, std::pair<double, double>> bySecond;
  double thrownAwayCoreSeconds = 0.0;
  /** Over time: free accelerators, and those on workers that are partly used.
   */
  double freeAcceleratorSeconds = 0.0;
  double scatteredAcceleratorSeconds = 0.0;
  int preempted = 0;
  /** Units that ran to their end, and those away from data or rack. */
  int done = 0;
  int far = 0;
  /** Part of the credit, weighed, less the price of thrown-away work. */
  double worth = 0.0;

  double Fragmentation() const
  {
    return this->freeAcceleratorSeconds == 0.0
             ? 0.0
             : this->scatteredAcceleratorSeconds / this->freeAcceleratorSeconds;
  }

  bool operator==(const ModelFigures&) const = default;
};

}
