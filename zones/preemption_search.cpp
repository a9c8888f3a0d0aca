#include "zones/preemption_search.h"

#include "core/reason.h"
#include "zones/candidate_worker.h"
#include "zones/candidate_worker_builder.h"
#include "zones/place_search.h"
#include "zones/placement_request.h"
#include "zones/preemptible_run.h"
#include "zones/worker_preemption_search.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace sardinecourse {

namespace {

/** Lost work for each accelerator that stopping the run frees, in core-seconds:
 * of two runs that lose the same work, the one with more accelerators frees
 * more. Runs without accelerators count as one. */
double
LostWorkPerAccelerator(const PreemptibleRun& aRun)
{
  std::int64_t accelerators = 0;
  for (const auto& [worker, resources] : aRun.resources) {
    accelerators += resources.Accelerators();
  }
  return aRun.lostWork /
         static_cast<double>(std::max<std::int64_t>(accelerators, 1));
}

bool
Fits(const std::vector<CandidateWorker>& aWorkers,
     const std::vector<PreemptibleRun>& aRuns,
     const std::vector<std::size_t>& aChosen,
     const PlacementRequest& aRequest)
{
  return FindPlaces(WithoutRuns(aWorkers, aRuns, aChosen), aRequest)
    .has_value();
}

/** Length of the shortest prefix of aOrder whose runs, once stopped, make the
 * request fit; found by binary search. */
std::optional<std::size_t>
ShortestPrefix(const std::vector<CandidateWorker>& aWorkers,
               const std::vector<PreemptibleRun>& aRuns,
               const std::vector<std::size_t>& aOrder,
               const PlacementRequest& aRequest)
{
  if (!Fits(aWorkers, aRuns, aOrder, aRequest)) {
    return std::nullopt;
  }
  std::size_t low = 0;
  std::size_t high = aOrder.size();
  while (low < high) {
    const std::size_t middle = (low + high) / 2;
    const std::vector<std::size_t> prefix(
      aOrder.begin(), aOrder.begin() + static_cast<std::ptrdiff_t>(middle));
    if (Fits(aWorkers, aRuns, prefix, aRequest)) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}

}

std::vector<CandidateWorker>
WithoutRuns(const std::vector<CandidateWorker>& aWorkers,
            const std::vector<PreemptibleRun>& aRuns,
            const std::vector<std::size_t>& aChosen)
{
  std::map<WorkerName, Resources> freed;
  for (const std::size_t position : aChosen) {
    for (const auto& [worker, resources] : aRuns[position].resources) {
      freed[worker] = freed[worker].Plus(resources);
    }
  }
  std::vector<CandidateWorker> workers;
  Reason ignored; // The names were checked when the workers were listed.
  for (const CandidateWorker& worker : aWorkers) {
    const auto candidate = CandidateWorkerBuilder()
                             .Name(worker.Name())
                             .Rack(worker.Rack())
                             .Free(worker.Free().Plus(freed[worker.Name()]))
                             .Total(worker.Total())
                             .MaxTasks(worker.MaxTasks())
                             .Penalty(worker.Penalty())
                             .Build(ignored);
    if (candidate) {
      workers.push_back(*candidate);
    }
  }
  return workers;
}

namespace {

/** Stops runs of the whole fleet in ascending order of lost work for each
 * accelerator. */
std::optional<std::vector<std::size_t>>
ChooseInOrder(const std::vector<CandidateWorker>& aWorkers,
              const std::vector<PreemptibleRun>& aRuns,
              const PlacementRequest& aRequest)
{
  std::vector<std::size_t> order(aRuns.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(),
            order.end(),
            [&aRuns](std::size_t aLeft, std::size_t aRight) {
              return LostWorkPerAccelerator(aRuns[aLeft]) <
                     LostWorkPerAccelerator(aRuns[aRight]);
            });
  const auto length = ShortestPrefix(aWorkers, aRuns, order, aRequest);
  if (!length) {
    return std::nullopt;
  }
  std::vector<std::size_t> chosen(
    order.begin(), order.begin() + static_cast<std::ptrdiff_t>(*length));
  // Keeps runs that need not be stopped after all, those with the most lost
  // work for each accelerator first.
  for (std::size_t count = chosen.size(); count > 0; --count) {
    std::vector<std::size_t> fewer = chosen;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(count - 1));
    if (Fits(aWorkers, aRuns, fewer, aRequest)) {
      chosen = std::move(fewer);
    }
  }
  return chosen;
}

}

std::optional<std::vector<std::size_t>>
ChoosePreempted(const std::vector<CandidateWorker>& aWorkers,
                const std::vector<PreemptibleRun>& aRuns,
                const PlacementRequest& aRequest)
{
  auto chosen = ChooseInOrder(aWorkers, aRuns, aRequest);
  if (!chosen) {
    return std::nullopt;
  }
  // Neither search is always better: the sorted order ignores which workers the
  // runs are on, and the search by worker considers one task at a time.
  auto byWorker = ChoosePreemptedByWorker(aWorkers, aRuns, aRequest);
  const bool isBetter =
    byWorker && LostWorkOf(aRuns, *byWorker) < LostWorkOf(aRuns, *chosen) &&
    Fits(aWorkers, aRuns, *byWorker, aRequest);
  return isBetter ? std::move(byWorker) : std::move(chosen);
}

}
