#include "zones/queue_run_times.h"

#include <numeric>

namespace sardinecourse {

namespace {

/** Runs kept for each queue: enough for a stable mean, few enough to follow
 * changes of the load. */
constexpr std::size_t kMaxKeptRuns = 64;
/** With fewer runs, a mean of run times that vary by half is too unreliable to
 * use. */
constexpr std::size_t kMinRuns = 5;

}

void
QueueRunTimes::Note(const QueueName& aQueue, Milliseconds aRunTime)
{
  std::deque<Milliseconds>& latest = this->runTimes[aQueue];
  latest.push_back(aRunTime);
  if (latest.size() > kMaxKeptRuns) {
    latest.pop_front();
  }
}

std::optional<Milliseconds>
QueueRunTimes::Typical(const QueueName& aQueue) const
{
  const auto found = this->runTimes.find(aQueue);
  if (found == this->runTimes.end() || found->second.size() < kMinRuns) {
    return std::nullopt;
  }
  const Milliseconds sum = std::accumulate(
    found->second.begin(), found->second.end(), Milliseconds(0));
  return sum / static_cast<std::int64_t>(found->second.size());
}

}
