#include "zones/run_time_history.h"

#include "contracts/job.h"

#include <algorithm>
#include <chrono>

namespace sardinecourse {

namespace {

/** Latest run times that are kept per kind of job. */
constexpr std::size_t kMaxRunTimes = 32;
/** Assumed without any history of the shape: most jobs run for hours. */
constexpr std::chrono::hours kDefaultRunTime{ 4 };

void
AppendRunTime(Milliseconds aRunTime, std::vector<Milliseconds>& aRunTimes)
{
  aRunTimes.push_back(aRunTime);
  if (aRunTimes.size() > kMaxRunTimes) {
    aRunTimes.erase(aRunTimes.begin());
  }
}

Milliseconds
UpperQuartile(std::vector<Milliseconds> aRunTimes)
{
  const auto quartile = aRunTimes.begin() + static_cast<std::ptrdiff_t>(
                                              (aRunTimes.size() - 1) * 3 / 4);
  std::nth_element(aRunTimes.begin(), quartile, aRunTimes.end());
  return *quartile;
}

}

RunTimeHistory
RunTimeHistory::With(const Job& aJob, Milliseconds aRunTime) const
{
  RunTimeHistory next = *this;
  AppendRunTime(aRunTime,
                next.byKind[{ aJob.Team(), aJob.Service(), aJob.GangShape() }]);
  AppendRunTime(aRunTime, next.byShape[aJob.GangShape()]);
  return next;
}

Milliseconds
RunTimeHistory::Expected(const Job& aJob) const
{
  const auto kind =
    this->byKind.find({ aJob.Team(), aJob.Service(), aJob.GangShape() });
  if (kind != this->byKind.end()) {
    return UpperQuartile(kind->second);
  }
  const auto shape = this->byShape.find(aJob.GangShape());
  if (shape != this->byShape.end()) {
    return UpperQuartile(shape->second);
  }
  return kDefaultRunTime;
}

}
