#include "zones/queue_run_times.h"

#include <numeric>

namespace sardinecourse {

namespace {

/** Runs remembered of each queue; enough for a mean, few enough to follow what
 * changes. */
constexpr std::size_t kMaxRemembered = 64;
/** With fewer the mean of run times that differ by half is a guess. */
constexpr std::size_t kFewest = 5;

}

void
QueueRunTimes::Note(const QueueName& aQueue, Milliseconds aRunTime)
{
  std::deque<Milliseconds>& latest = this->runTimes[aQueue];
  latest.push_back(aRunTime);
  if (latest.size() > kMaxRemembered) {
    latest.pop_front();
  }
}

std::optional<Milliseconds>
QueueRunTimes::Typical(const QueueName& aQueue) const
{
  const auto found = this->runTimes.find(aQueue);
  if (found == this->runTimes.end() || found->second.size() < kFewest) {
    return std::nullopt;
  }
  const Milliseconds sum = std::accumulate(
    found->second.begin(), found->second.end(), Milliseconds(0));
  return sum / static_cast<std::int64_t>(found->second.size());
}

}
