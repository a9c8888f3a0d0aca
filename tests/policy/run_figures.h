#pragma once

#include <algorithm>
#include <map>
#include <vector>

namespace sardinecourse {

/** Results of one run of one policy. */
struct RunFigures
{
  std::vector<double> smallMinutes;
  std::vector<double> largeMinutes;
  /** Completion time minus run time of large jobs. */
  std::vector<double> largeWaitMinutes;
  /** Run time of large jobs, the lower bound of their completion time under any
   * policy. */
  std::vector<double> largeRunMinutes;
  std::vector<double> urgentStartSeconds;
  std::vector<double> reclaimSeconds;
  std::map<int, std::vector<double>> largeMinutesByMembers;
  double freeAcceleratorHours = 0;
  double unusableAcceleratorHours = 0;
  double lostAcceleratorHours = 0;
  int refused = 0;
  int preempted = 0;
  int failedStarts = 0;

  /** Share of the free accelerator time that large gangs could not use; zero
   * without any. */
  double Fragmentation() const
  {
    return this->freeAcceleratorHours == 0
             ? 0
             : this->unusableAcceleratorHours / this->freeAcceleratorHours;
  }
};

/** The value at aPercent (0 to 100), by nearest rank below; zero when there are
 * no values. */
inline double
Percentile(std::vector<double> aValues, int aPercent)
{
  if (aValues.empty()) {
    return 0;
  }
  std::ranges::sort(aValues);
  return aValues[(aValues.size() - 1) * aPercent / 100];
}

}
