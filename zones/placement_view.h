#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "zones/candidate_worker.h"
#include "zones/placement_request.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sardinecourse {

class DomainState;
class PreemptionReservations;
class TrackedJob;
class JobStep;
class TaskUnit;
class TrackedWorker;
struct UnitRef;

/** The workers of a domain that accept new tasks, during one scheduling pass;
 * none while starts are withheld.
 * The list is built once for each service and updated as the pass starts tasks,
 * because rebuilding it for each unit takes most of the time of a pass with a
 * thousand workers. */
class PlacementView
{
public:
  PlacementView(const DomainState& aDomain,
                const PreemptionReservations& aReservations,
                Instant aNow);

  /** Candidate workers for the tasks of the unit; their free resources exclude
   * what is reserved for other units. The reference is valid until the next
   * call. */
  const std::vector<CandidateWorker>& CandidatesFor(const TrackedJob& aJob,
                                                    const TaskUnit& aUnit,
                                                    const UnitRef& aRef);
  /** Updates a worker's free resources after a task was placed on it. */
  void RecordAllocation(const ServiceName& aService, const WorkerName& aWorker);

  /** A worker for each task of the unit, or nothing when they do not all fit. A
   * request that needs at least as much as one that failed earlier in the pass
   * is not searched again, because free resources only shrink during a pass. */
  std::optional<std::vector<WorkerName>> Find(const TrackedJob& aJob,
                                              const TaskUnit& aUnit,
                                              const UnitRef& aRef,
                                              const PlacementRequest& aRequest);

  std::int64_t FreeAccelerators(const ServiceName& aService);
  std::int64_t TotalAccelerators(const ServiceName& aService);
  /** Whether the rack has workers of the service that are not open to work. */
  bool IsClosedRack(const ServiceName& aService, const RackName& aRack);
  /** Whether the unit fits twice into what is free, in any racks. */
  bool HasAmpleRoom(const TrackedJob& aJob,
                    const TaskUnit& aUnit,
                    const UnitRef& aRef);

private:
  struct Pool
  {
    std::vector<CandidateWorker> workers;
    std::vector<PlacementRequest> failed;
    std::set<RackName> closedRacks;
    std::int64_t freeAccelerators = 0;
    std::int64_t totalAccelerators = 0;
    bool hasColdWorkers = false;
  };

  Pool& PoolOf(const ServiceName& aService);
  /** Whether the unit may use every worker of its service alike and has no
   * reservation, so that the shared list of the service applies to it. */
  bool IsUnrestricted(const TrackedJob& aJob,
                      const TaskUnit& aUnit,
                      const UnitRef& aRef);
  bool MayTakeWork(const TrackedWorker& aWorker) const;
  CandidateWorker MakeCandidate(const TrackedWorker& aWorker,
                                const Resources& aReserved) const;
  CandidateWorker MakeCandidateFor(const CandidateWorker& aWorker,
                                   const TrackedJob& aJob,
                                   const TaskUnit& aUnit,
                                   const UnitRef& aRef) const;

  const DomainState* domain;
  const PreemptionReservations* reservations;
  Instant now;
  std::map<ServiceName, Pool> pools;
  std::vector<CandidateWorker> restrictedWorkers;
};

}
