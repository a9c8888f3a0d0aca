#pragma once

#include <vector>

namespace sardinecourse {

/** Results of the jobs of one kind. */
struct KindFigures
{
  /** Jobs that were not cancelled and that, when the simulation ended, were
   * final or too late for credit. */
  int countedJobs = 0;
  int inTime = 0;
  int late = 0;
  /** Credit if every counted job had been in time, and the credit earned. */
  double possibleCredit = 0.0;
  double credit = 0.0;
  /** Seconds from arrival to the start of the first task, for each job that
   * was started. */
  std::vector<double> waits;

  double CreditShare() const
  {
    return this->possibleCredit == 0.0 ? 1.0
                                       : this->credit / this->possibleCredit;
  }

  bool operator==(const KindFigures&) const = default;
};

}
