#include "zones/place_search.h"

#include "zones/candidate_worker.h"
#include "zones/placement_request.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace sardinecourse {

namespace {

using Workers = std::vector<const CandidateWorker*>;

std::int32_t
RoomFor(const CandidateWorker& aWorker, const Resources& aNeed)
{
  return std::min(aWorker.Free().Holds(aNeed), aWorker.MaxTasks());
}

double
Share(std::int64_t aFree, std::int64_t aWhole)
{
  return aWhole > 0 ? static_cast<double>(aFree) / static_cast<double>(aWhole)
                    : 0.0;
}

/** How empty the worker is, summed over what it has. */
double
Emptiness(const CandidateWorker& aWorker)
{
  const Resources& free = aWorker.Free();
  const Resources& whole = aWorker.Total();
  return Share(free.MilliCores(), whole.MilliCores()) +
         Share(free.MemoryMb(), whole.MemoryMb()) +
         Share(free.Accelerators(), whole.Accelerators());
}

std::vector<WorkerName>
FillSome(Workers aWorkers, const PlacementRequest& aWish)
{
  std::sort(aWorkers.begin(),
            aWorkers.end(),
            [](const CandidateWorker* aLeft, const CandidateWorker* aRight) {
              return std::tuple(aLeft->Penalty(), Emptiness(*aLeft), aLeft) <
                     std::tuple(aRight->Penalty(), Emptiness(*aRight), aRight);
            });
  std::vector<WorkerName> places;
  for (const CandidateWorker* worker : aWorkers) {
    const std::int32_t left =
      aWish.Count() - static_cast<std::int32_t>(places.size());
    const std::int32_t here = std::min(left, RoomFor(*worker, aWish.Need()));
    places.insert(places.end(), std::max(here, 0), worker->Name());
  }
  return places;
}

std::optional<std::vector<WorkerName>>
Fill(Workers aWorkers, const PlacementRequest& aWish)
{
  std::vector<WorkerName> places = FillSome(std::move(aWorkers), aWish);
  if (static_cast<std::int32_t>(places.size()) < aWish.Count()) {
    return std::nullopt;
  }
  return places;
}

/** Racks by what they would have left: doubtful workers needed last, then the
 * fewest free accelerators. */
std::optional<std::vector<WorkerName>>
FillOneRack(const Workers& aWorkers, const PlacementRequest& aWish)
{
  std::map<RackName, Workers> racks;
  for (const CandidateWorker* worker : aWorkers) {
    racks[worker->Rack()].push_back(worker);
  }
  std::optional<std::vector<WorkerName>> best;
  std::tuple<std::int32_t, std::int64_t> bestLeft;
  for (const auto& [name, workers] : racks) {
    std::int64_t room = 0;
    std::int64_t free = 0;
    std::int32_t penalty = 0;
    for (const CandidateWorker* worker : workers) {
      room += RoomFor(*worker, aWish.Need());
      free += worker->Free().Accelerators();
      penalty = std::max(penalty, worker->Penalty());
    }
    const std::tuple left(penalty, free);
    if (room >= aWish.Count() && (!best || left < bestLeft)) {
      best = Fill(workers, aWish);
      bestLeft = left;
    }
  }
  return best;
}

Workers
FittingWorkers(const std::vector<CandidateWorker>& aWorkers,
               const PlacementRequest& aWish)
{
  Workers fitting;
  for (const CandidateWorker& worker : aWorkers) {
    const bool isWanted = aWish.Rack().Empty() || worker.Rack() == aWish.Rack();
    if (isWanted && RoomFor(worker, aWish.Need()) > 0) {
      fitting.push_back(&worker);
    }
  }
  return fitting;
}

}

std::optional<std::vector<WorkerName>>
FindPlaces(const std::vector<CandidateWorker>& aWorkers,
           const PlacementRequest& aWish)
{
  Workers fitting = FittingWorkers(aWorkers, aWish);
  return aWish.RequiresOneRack() ? FillOneRack(fitting, aWish)
                                 : Fill(std::move(fitting), aWish);
}

std::vector<WorkerName>
FindSomePlaces(const std::vector<CandidateWorker>& aWorkers,
               const PlacementRequest& aWish)
{
  return FillSome(FittingWorkers(aWorkers, aWish), aWish);
}

bool
CouldFit(const std::vector<CandidateWorker>& aWorkers,
         const PlacementRequest& aWish)
{
  std::map<RackName, std::int64_t> racks;
  for (const CandidateWorker& worker : aWorkers) {
    if (aWish.Rack().Empty() || worker.Rack() == aWish.Rack()) {
      const RackName& rack =
        aWish.RequiresOneRack() ? worker.Rack() : aWish.Rack();
      racks[rack] +=
        std::min(worker.Total().Holds(aWish.Need()), worker.MaxTasks());
    }
  }
  return std::any_of(racks.begin(), racks.end(), [&aWish](const auto& aRack) {
    return aRack.second >= aWish.Count();
  });
}

}
