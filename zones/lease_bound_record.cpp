#include "zones/lease_bound_record.h"

#include "contracts/store_clock.h"

#include <algorithm>

namespace sardinecourse {

void
LeaseBoundRecord::Adopt(const LeaseBounds& aStored,
                        std::int64_t aKeptSince,
                        const StoreClock& aClock)
{
  for (const auto& [worker, bound] : aStored) {
    if (bound.term >= aKeptSince) {
      this->storedRow[worker] = bound;
      this->stored[worker] = aClock.ReachedBy(bound.untilMs);
    }
  }
}

std::optional<Instant>
LeaseBoundRecord::StoredFor(const WorkerName& aWorker) const
{
  const auto found = this->stored.find(aWorker);
  return found == this->stored.end() ? std::nullopt
                                     : std::optional<Instant>(found->second);
}

bool
LeaseBoundRecord::MayBeStored(const WorkerName& aWorker) const
{
  return this->stored.contains(aWorker) || this->planned.contains(aWorker) ||
         this->doubtful.contains(aWorker);
}

bool
LeaseBoundRecord::IsDue(const std::map<WorkerName, Instant>& aWanted) const
{
  return !this->doubtful.empty() ||
         !std::equal(this->stored.begin(),
                     this->stored.end(),
                     aWanted.begin(),
                     aWanted.end(),
                     [](const auto& aStored, const auto& aWantedBound) {
                       return aStored.first == aWantedBound.first;
                     });
}

LeaseBounds
LeaseBoundRecord::Plan(const std::map<WorkerName, Instant>& aWanted,
                       std::int64_t aTerm,
                       const StoreClock& aClock)
{
  this->planned.clear();
  this->plannedRow.clear();
  for (const auto& [worker, until] : aWanted) {
    // A stored bound is kept as it is, so that it does not move with each
    // conversion between clocks.
    const auto kept = this->storedRow.find(worker);
    const bool isKept = kept != this->storedRow.end();
    this->plannedRow[worker] =
      isKept ? kept->second : LeaseBound{ aClock.LatestAt(until), aTerm };
    this->planned[worker] = isKept ? this->stored.at(worker) : until;
  }
  return this->plannedRow;
}

void
LeaseBoundRecord::Answered(WriteOutcome aOutcome)
{
  if (aOutcome == WriteOutcome::kCommitted) {
    // The row's revision has changed, so no earlier write can take effect.
    this->doubtful.clear();
    this->stored = this->planned;
    this->storedRow = this->plannedRow;
  } else if (aOutcome == WriteOutcome::kNotKnown) {
    for (const auto& [worker, until] : this->planned) {
      this->doubtful.insert(worker);
    }
  }
  this->planned.clear();
  this->plannedRow.clear();
}

}
