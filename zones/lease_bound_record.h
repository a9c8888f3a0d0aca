#pragma once

#include "contracts/lease_bound.h"
#include "contracts/write_outcome.h"
#include "core/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace sardinecourse {

class StoreClock;

/** Bounds of the leases on unreachable workers, as far as the store may hold
 * them. A later holder relies on them, so a worker whose bound may be stored
 * gets no lease before the bound is certainly withdrawn. */
class LeaseBoundRecord
{
public:
  /** Adopts the bounds that earlier holders stored. Those of terms before
   * aKeptSince are dropped: a holder since then may have granted leases without
   * withdrawing them. */
  void Adopt(const LeaseBounds& aStored,
             std::int64_t aKeptSince,
             const StoreClock& aClock);

  /** Stored bounds, as times by which the leases have expired. */
  const std::map<WorkerName, Instant>& Stored() const { return this->stored; }
  std::optional<Instant> StoredFor(const WorkerName& aWorker) const;
  /** Whether the store holds a bound of the worker, or may come to hold it. */
  bool MayBeStored(const WorkerName& aWorker) const;

  /** Whether the store has to be changed so that it holds the bounds of exactly
   * these workers. */
  bool IsDue(const std::map<WorkerName, Instant>& aWanted) const;
  /** The row to write for the bounds in aWanted. From this call on, its bounds
   * may be stored. */
  LeaseBounds Plan(const std::map<WorkerName, Instant>& aWanted,
                   std::int64_t aTerm,
                   const StoreClock& aClock);
  /** Records the outcome of the write of the latest plan. */
  void Answered(WriteOutcome aOutcome);

private:
  std::map<WorkerName, Instant> stored;
  /** The same bounds as the store holds them. */
  LeaseBounds storedRow;
  /** Workers with a bound in a write whose outcome is unknown. */
  std::set<WorkerName> doubtful;
  std::map<WorkerName, Instant> planned;
  LeaseBounds plannedRow;
};

}
