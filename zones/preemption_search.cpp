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

/** Stopping a run frees more for its price the more accelerators it has. */
double
WastePerAccelerator(const PreemptibleRun& aRun)
{
  std::int64_t accelerators = 0;
  for (const auto& [worker, room] : aRun.room) {
    accelerators += room.Accelerators();
  }
  return aRun.waste /
         static_cast<double>(std::max<std::int64_t>(accelerators, 1));
}

bool
Fits(const std::vector<CandidateWorker>& aWorkers,
     const std::vector<PreemptibleRun>& aRuns,
     const std::vector<std::size_t>& aChosen,
     const PlacementRequest& aWish)
{
  return FindPlaces(WithoutRuns(aWorkers, aRuns, aChosen), aWish).has_value();
}

/** The shortest beginning of the order that makes the unit fit. */
std::optional<std::size_t>
ShortestBeginning(const std::vector<CandidateWorker>& aWorkers,
                  const std::vector<PreemptibleRun>& aRuns,
                  const std::vector<std::size_t>& aOrder,
                  const PlacementRequest& aWish)
{
  if (!Fits(aWorkers, aRuns, aOrder, aWish)) {
    return std::nullopt;
  }
  std::size_t least = 0;
  std::size_t most = aOrder.size();
  while (least < most) {
    const std::size_t middle = (least + most) / 2;
    const std::vector<std::size_t> some(
      aOrder.begin(), aOrder.begin() + static_cast<std::ptrdiff_t>(middle));
    if (Fits(aWorkers, aRuns, some, aWish)) {
      most = middle;
    } else {
      least = middle + 1;
    }
  }
  return least;
}

}

std::vector<CandidateWorker>
WithoutRuns(const std::vector<CandidateWorker>& aWorkers,
            const std::vector<PreemptibleRun>& aRuns,
            const std::vector<std::size_t>& aChosen)
{
  std::map<WorkerName, Resources> freed;
  for (const std::size_t position : aChosen) {
    for (const auto& [worker, room] : aRuns[position].room) {
      freed[worker] = freed[worker].Plus(room);
    }
  }
  std::vector<CandidateWorker> workers;
  Reason ignored; // The names were checked when the workers were listed.
  for (const CandidateWorker& worker : aWorkers) {
    const auto freer = CandidateWorkerBuilder()
                         .Name(worker.Name())
                         .Rack(worker.Rack())
                         .Free(worker.Free().Plus(freed[worker.Name()]))
                         .Total(worker.Total())
                         .MaxTasks(worker.MaxTasks())
                         .Penalty(worker.Penalty())
                         .Build(ignored);
    if (freer) {
      workers.push_back(*freer);
    }
  }
  return workers;
}

namespace {

/** The cheapest runs for what they free, of the whole fleet. */
std::optional<std::vector<std::size_t>>
ChooseInOrder(const std::vector<CandidateWorker>& aWorkers,
              const std::vector<PreemptibleRun>& aRuns,
              const PlacementRequest& aWish)
{
  std::vector<std::size_t> order(aRuns.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(),
            order.end(),
            [&aRuns](std::size_t aLeft, std::size_t aRight) {
              return WastePerAccelerator(aRuns[aLeft]) <
                     WastePerAccelerator(aRuns[aRight]);
            });
  const auto length = ShortestBeginning(aWorkers, aRuns, order, aWish);
  if (!length) {
    return std::nullopt;
  }
  std::vector<std::size_t> chosen(
    order.begin(), order.begin() + static_cast<std::ptrdiff_t>(*length));
  // Spares what turned out not to be needed, the dearest first.
  for (std::size_t count = chosen.size(); count > 0; --count) {
    std::vector<std::size_t> fewer = chosen;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(count - 1));
    if (Fits(aWorkers, aRuns, fewer, aWish)) {
      chosen = std::move(fewer);
    }
  }
  return chosen;
}

}

std::optional<std::vector<std::size_t>>
ChoosePreempted(const std::vector<CandidateWorker>& aWorkers,
                const std::vector<PreemptibleRun>& aRuns,
                const PlacementRequest& aWish)
{
  auto chosen = ChooseInOrder(aWorkers, aRuns, aWish);
  if (!chosen) {
    return std::nullopt;
  }
  // Neither search is always the better one: the order knows no workers, and
  // the search by worker looks at one task at a time.
  auto byWorker = ChoosePreemptedByWorker(aWorkers, aRuns, aWish);
  const bool isBetter = byWorker &&
                        WasteOf(aRuns, *byWorker) < WasteOf(aRuns, *chosen) &&
                        Fits(aWorkers, aRuns, *byWorker, aWish);
  return isBetter ? std::move(byWorker) : std::move(chosen);
}

}
