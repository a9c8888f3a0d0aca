#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "zones/candidate_worker.h"
#include "zones/placement_request.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sardinecourse {

class DomainState;
class PreemptionReservations;
class TrackedJob;
class JobStep;
class TaskUnit;
class TrackedWorker;
struct UnitRef;

/**
 * The workers that may take work, as one pass over a domain sees them. It is
 * made once for each service and follows the starts of the pass, since making
 * it anew for each unit takes most of the time at a thousand workers.
 */
class PlacementView
{
public:
  PlacementView(const DomainState& aDomain,
                const PreemptionReservations& aReservations,
                Instant aNow);

  /** Workers that may take tasks of the unit, without the room that is held for
   * other units. Valid until the next call. */
  const std::vector<CandidateWorker>& For(const TrackedJob& aJob,
                                          const TaskUnit& aUnit,
                                          const UnitRef& aRef);
  /** Notes that room on a worker was taken. */
  void RecordAllocation(const ServiceName& aService, const WorkerName& aWorker);

  /** A worker for each task of the unit, or nothing when they do not all fit. A
   * wish that asks for no less than one that failed is not searched again,
   * since room only shrinks in a pass. */
  std::optional<std::vector<WorkerName>> Find(const TrackedJob& aJob,
                                              const TaskUnit& aUnit,
                                              const UnitRef& aRef,
                                              const PlacementRequest& aWish);

  std::int64_t FreeAccelerators(const ServiceName& aService);
  std::int64_t WholeAccelerators(const ServiceName& aService);

private:
  struct Pool
  {
    std::vector<CandidateWorker> workers;
    std::map<WorkerName, std::size_t> positions;
    std::vector<PlacementRequest> failed;
    std::int64_t freeAccelerators = 0;
    std::int64_t wholeAccelerators = 0;
  };

  Pool& PoolOf(const ServiceName& aService);
  /** Whether the unit may use every worker of its service, in all its room. */
  bool IsPlain(const TrackedJob& aJob,
               const TaskUnit& aUnit,
               const UnitRef& aRef) const;
  bool MayTakeWork(const TrackedWorker& aWorker) const;
  CandidateWorker MakeCandidate(const TrackedWorker& aWorker) const;
  CandidateWorker Narrowed(const CandidateWorker& aWorker,
                           const TrackedJob& aJob,
                           const TaskUnit& aUnit,
                           const UnitRef& aRef) const;

  const DomainState* domain;
  const PreemptionReservations* reservations;
  Instant now;
  std::map<ServiceName, Pool> pools;
  std::vector<CandidateWorker> narrowed;
};

}
