#include "machines/worker_health.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace sardinecourse {

namespace {

constexpr std::int32_t kFailuresToQuarantine = 2;
constexpr std::chrono::minutes kFirstQuarantine{ 1 };
/** Limits a quarantine to 64 minutes. */
constexpr std::int32_t kMaxDoublings = 6;

}

WorkerHealth::WorkerHealth(WorkerName aWorker)
  : worker(std::move(aWorker))
{
}

WorkerHealth
WorkerHealth::AfterSuccess() const
{
  return WorkerHealth(this->worker);
}

WorkerHealth
WorkerHealth::AfterFailure(Instant aNow) const
{
  WorkerHealth next = *this;
  ++next.failures;
  if (next.failures >= kFailuresToQuarantine) {
    const std::int32_t doublings =
      std::min(next.failures - kFailuresToQuarantine, kMaxDoublings);
    next.quarantinedUntil = aNow + kFirstQuarantine * (1 << doublings);
  }
  return next;
}

}
