#pragma once

#include "machines/resources.h"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace sardinecourse {

class CandidateWorker;
class PlacementRequest;
struct PreemptibleRun;

/** Number of tasks of a request that fit on the workers while some runs count
 * as stopped. Stopping or restoring a run costs time in proportion to its
 * members, not to the fleet. */
class FreedCapacity
{
public:
  FreedCapacity(const std::vector<CandidateWorker>& aWorkers,
                const std::vector<PreemptibleRun>& aRuns,
                const PlacementRequest& aRequest);

  /** Adds the resources of a run to what is free; aRun is its position. */
  void Stop(std::size_t aRun) { this->Apply(aRun, 1); }
  /** Reverts Stop(). */
  void Restore(std::size_t aRun) { this->Apply(aRun, -1); }
  /** Whether FindPlaces() would place the whole request. */
  bool Fits() const { return this->fittingGroups > 0; }

private:
  /** Workers that may share one placement: a rack if the request must stay
   * within one, otherwise all. */
  using Group = std::size_t;

  struct Worker
  {
    Resources free;
    std::int64_t maxTasks = 0;
    std::int64_t fittingTasks = 0;
    Group group = 0;
  };

  void Apply(std::size_t aRun, std::int64_t aSign);
  void Recount(Worker& aWorker);

  Resources need;
  std::int64_t count = 0;
  std::vector<Worker> workers;
  /** For each run, positions of its workers with the resources used there. */
  std::vector<std::vector<std::pair<std::size_t, Resources>>> members;
  std::vector<std::int64_t> fittingTasks;
  std::int64_t fittingGroups = 0;
};

}
