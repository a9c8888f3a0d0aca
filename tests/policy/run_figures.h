#pragma once

#include <algorithm>
#include <map>
#include <vector>

namespace sardinecourse {

/** What one run of one policy came to. */
struct RunFigures
{
  std::vector<double> smallMinutes;
  std::vector<double> largeMinutes;
  /** Completion time less the run time, of large jobs. */
  std::vector<double> largeWaitMinutes;
  /** Run time alone, below which no policy can come. */
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

  double Fragmentation() const
  {
    return this->freeAcceleratorHours == 0
             ? 0
             : this->unusableAcceleratorHours / this->freeAcceleratorHours;
  }
};

/** Zero when there are no values. */
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
