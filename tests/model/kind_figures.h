#pragma once

#include <vector>

namespace sardinecourse {

/** What came of the jobs of one kind. */
struct KindFigures
{
  int owed = 0;
  int inTime = 0;
  int late = 0;
  double creditOwed = 0.0;
  double credit = 0.0;
  /** Seconds until the first task was started, of jobs that were started. */
  std::vector<double> waits;

  double Share() const
  {
    return this->creditOwed == 0.0 ? 1.0 : this->credit / this->creditOwed;
  }

  bool operator==(const KindFigures&) const = default;
};

}
