#include "zones/preemption_search.h"

#include "core/reason.h"
#include "zones/candidate_worker.h"
#include "zones/candidate_worker_builder.h"
#include "zones/freed_capacity.h"
#include "zones/preemptible_run.h"
#include "zones/worker_preemption_search.h"

#include <algorithm>
#include <iterator>
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
                             .Outlook(worker.Outlook())
                             .Build(ignored);
    if (candidate) {
      workers.push_back(*candidate);
    }
  }
  return workers;
}

namespace {

bool
FitsWithout(const std::vector<CandidateWorker>& aWorkers,
            const std::vector<PreemptibleRun>& aRuns,
            const std::vector<std::size_t>& aChosen,
            const PlacementRequest& aRequest)
{
  FreedCapacity capacity(aWorkers, aRuns, aRequest);
  for (const std::size_t run : aChosen) {
    capacity.Stop(run);
  }
  return capacity.Fits();
}

/** Stops runs of the whole fleet in ascending order of lost work for each
 * accelerator. */
std::optional<std::vector<std::size_t>>
ChooseInOrder(const std::vector<CandidateWorker>& aWorkers,
              const std::vector<PreemptibleRun>& aRuns,
              const PlacementRequest& aRequest)
{
  std::vector<double> lostWork;
  std::transform(aRuns.begin(),
                 aRuns.end(),
                 std::back_inserter(lostWork),
                 LostWorkPerAccelerator);
  std::vector<std::size_t> order(aRuns.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(),
            order.end(),
            [&lostWork](std::size_t aLeft, std::size_t aRight) {
              return lostWork[aLeft] < lostWork[aRight];
            });
  FreedCapacity capacity(aWorkers, aRuns, aRequest);
  std::vector<std::size_t> chosen;
  for (const std::size_t run : order) {
    if (capacity.Fits()) {
      break;
    }
    capacity.Stop(run);
    chosen.push_back(run);
  }
  if (!capacity.Fits()) {
    return std::nullopt;
  }
  // Keeps runs that need not be stopped after all, those with the most lost
  // work for each accelerator first.
  for (std::size_t count = chosen.size(); count > 0; --count) {
    const auto run = chosen.begin() + static_cast<std::ptrdiff_t>(count - 1);
    capacity.Restore(*run);
    if (capacity.Fits()) {
      chosen.erase(run);
    } else {
      capacity.Stop(*run);
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
    FitsWithout(aWorkers, aRuns, *byWorker, aRequest);
  return isBetter ? std::move(byWorker) : std::move(chosen);
}

}
