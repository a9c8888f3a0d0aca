#include "zones/place_search.h"

#include "zones/candidate_worker.h"
#include "zones/pace/pace_bands.h"
#include "zones/placement_request.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <map>
#include <tuple>

namespace sardinecourse {

namespace {

using Workers = std::vector<const CandidateWorker*>;

std::int32_t
TasksThatFit(const CandidateWorker& aWorker, const Resources& aNeed)
{
  return std::min(aWorker.Free().CountFitting(aNeed), aWorker.MaxTasks());
}

double
FreeShare(std::int64_t aFree, std::int64_t aTotal)
{
  return aTotal > 0 ? static_cast<double>(aFree) / static_cast<double>(aTotal)
                    : 0.0;
}

/** Sum of the free shares of cores, memory and accelerators; the lower, the
 * fuller the worker. */
double
Emptiness(const CandidateWorker& aWorker)
{
  const Resources& free = aWorker.Free();
  const Resources& total = aWorker.Total();
  return FreeShare(free.MilliCores(), total.MilliCores()) +
         FreeShare(free.MemoryMb(), total.MemoryMb()) +
         FreeShare(free.Accelerators(), total.Accelerators());
}

/** Order of the pace classes in which workers are filled; lower is first. */
std::int32_t
PaceRank(const CandidateWorker& aWorker, PacePreference aPreference)
{
  const auto rank =
    static_cast<std::int32_t>(PaceClassOf(aWorker.Outlook().Pace()));
  switch (aPreference) {
    case PacePreference::kFast:
      return -rank;
    case PacePreference::kSlow:
      return rank;
    default:
      return 0;
  }
}

/** Grade of what is expected to slow tasks and their neighbours down; 0 for
 * none. Equal grades leave the order by fullness as it is. */
std::int32_t
DisturbanceRank(const CandidateWorker& aWorker)
{
  constexpr double kGrade = 0.25;
  return static_cast<std::int32_t>(
    std::ceil(aWorker.Outlook().Disturbance() / kGrade));
}

std::vector<WorkerName>
FillSome(const Workers& aWorkers,
         const PlacementRequest& aRequest,
         PacePreference aPreference)
{
  using Rank = std::tuple<std::int32_t,
                          std::int32_t,
                          std::int32_t,
                          double,
                          const CandidateWorker*>;
  std::vector<Rank> ranks;
  ranks.reserve(aWorkers.size());
  for (const CandidateWorker* worker : aWorkers) {
    ranks.emplace_back(worker->Penalty(),
                       PaceRank(*worker, aPreference),
                       DisturbanceRank(*worker),
                       Emptiness(*worker),
                       worker);
  }
  // Most requests fit on a few workers, so a heap saves sorting all of them.
  std::make_heap(ranks.begin(), ranks.end(), std::greater<>());
  std::vector<WorkerName> places;
  while (!ranks.empty()) {
    const std::int32_t left =
      aRequest.Count() - static_cast<std::int32_t>(places.size());
    if (left <= 0) {
      break;
    }
    std::pop_heap(ranks.begin(), ranks.end(), std::greater<>());
    const CandidateWorker* worker = std::get<4>(ranks.back());
    ranks.pop_back();
    const std::int32_t here =
      std::min(left, TasksThatFit(*worker, aRequest.Need()));
    places.insert(places.end(), std::max(here, 0), worker->Name());
  }
  return places;
}

/** The order in which a gang takes workers within its band. The slowest member
 * sets the pace of a gang, so it leaves the faster workers to others, unless
 * slow ones may be among the others. */
PacePreference
OrderInBand(PacePreference aPreference, const PaceBand& aBand)
{
  const bool mayBeSlow = aBand.slowest < PaceClass::kTypical;
  return aPreference == PacePreference::kFast && !mayBeSlow
           ? PacePreference::kSlow
           : aPreference;
}

std::optional<std::vector<WorkerName>>
Fill(const Workers& aWorkers,
     const PlacementRequest& aRequest,
     const PaceBand& aBand)
{
  std::int64_t fittingTasks = 0;
  for (const CandidateWorker* worker : aWorkers) {
    fittingTasks += TasksThatFit(*worker, aRequest.Need());
  }
  if (fittingTasks < aRequest.Count()) {
    return std::nullopt;
  }
  std::vector<WorkerName> places =
    FillSome(aWorkers, aRequest, OrderInBand(aRequest.Pace(), aBand));
  if (static_cast<std::int32_t>(places.size()) < aRequest.Count()) {
    return std::nullopt;
  }
  return places;
}

/** Of the racks in which all tasks fit, chooses the one with the lowest maximum
 * penalty, then the one in which fewest of the tasks need workers that may be
 * too slow for them, then the one in which fewest would disturb others or be
 * disturbed, then the one with the fewest free accelerators. */
std::optional<std::vector<WorkerName>>
FillOneRack(const Workers& aWorkers,
            const PlacementRequest& aRequest,
            const PaceBand& aBand)
{
  std::map<RackName, Workers> racks;
  for (const CandidateWorker* worker : aWorkers) {
    racks[worker->Rack()].push_back(worker);
  }
  std::optional<std::vector<WorkerName>> best;
  std::tuple<std::int32_t, std::int64_t, std::int64_t, std::int64_t> bestRank;
  for (const auto& [name, workers] : racks) {
    std::int64_t fittingTasks = 0;
    std::int64_t fittingInTime = 0;
    std::int64_t fittingUndisturbed = 0;
    std::int64_t free = 0;
    std::int32_t penalty = 0;
    for (const CandidateWorker* worker : workers) {
      const std::int32_t here = TasksThatFit(*worker, aRequest.Need());
      const bool isInTime =
        aRequest.Pace() != PacePreference::kFast ||
        PaceClassOf(worker->Outlook().Pace()) >= PaceClass::kTypical;
      fittingTasks += here;
      fittingInTime += isInTime ? here : 0;
      fittingUndisturbed += DisturbanceRank(*worker) == 0 ? here : 0;
      free += worker->Free().Accelerators();
      penalty = std::max(penalty, worker->Penalty());
    }
    const std::tuple rank(
      penalty,
      std::max<std::int64_t>(aRequest.Count() - fittingInTime, 0),
      std::max<std::int64_t>(aRequest.Count() - fittingUndisturbed, 0),
      free);
    if (fittingTasks >= aRequest.Count() && (!best || rank < bestRank)) {
      best = Fill(workers, aRequest, aBand);
      bestRank = rank;
    }
  }
  return best;
}

Workers
FittingWorkers(const std::vector<CandidateWorker>& aWorkers,
               const PlacementRequest& aRequest)
{
  Workers fitting;
  for (const CandidateWorker& worker : aWorkers) {
    const bool isAllowed =
      aRequest.Rack().Empty() || worker.Rack() == aRequest.Rack();
    if (isAllowed && TasksThatFit(worker, aRequest.Need()) > 0) {
      fitting.push_back(&worker);
    }
  }
  return fitting;
}

std::int32_t
HighestPenalty(const Workers& aWorkers, const std::vector<WorkerName>& aPlaces)
{
  std::int32_t highest = 0;
  for (const CandidateWorker* worker : aWorkers) {
    if (worker->Penalty() > highest &&
        std::find(aPlaces.begin(), aPlaces.end(), worker->Name()) !=
          aPlaces.end()) {
      highest = worker->Penalty();
    }
  }
  return highest;
}

}

std::optional<std::vector<WorkerName>>
FindPlaces(const std::vector<CandidateWorker>& aWorkers,
           const PlacementRequest& aRequest)
{
  const Workers fitting = FittingWorkers(aWorkers, aRequest);
  std::optional<std::vector<WorkerName>> best;
  std::int32_t bestPenalty = 0;
  for (const PaceBand& band : PaceBandsFor(aRequest.Pace())) {
    Workers inBand;
    std::copy_if(fitting.begin(),
                 fitting.end(),
                 std::back_inserter(inBand),
                 [&band](const CandidateWorker* aWorker) {
                   return band.Contains(PaceClassOf(aWorker->Outlook().Pace()));
                 });
    auto places = aRequest.RequiresOneRack()
                    ? FillOneRack(inBand, aRequest, band)
                    : Fill(inBand, aRequest, band);
    if (!places) {
      continue;
    }
    // A worker on which runs fail is worse than a slow one.
    const std::int32_t penalty = HighestPenalty(inBand, *places);
    if (!best || penalty < bestPenalty) {
      best = std::move(places);
      bestPenalty = penalty;
    }
    if (bestPenalty == 0) {
      break;
    }
  }
  return best;
}

std::vector<WorkerName>
FindSomePlaces(const std::vector<CandidateWorker>& aWorkers,
               const PlacementRequest& aRequest)
{
  return FillSome(
    FittingWorkers(aWorkers, aRequest), aRequest, aRequest.Pace());
}

bool
CouldFit(const std::vector<CandidateWorker>& aWorkers,
         const PlacementRequest& aRequest)
{
  std::map<RackName, std::int64_t> racks;
  for (const CandidateWorker& worker : aWorkers) {
    if (aRequest.Rack().Empty() || worker.Rack() == aRequest.Rack()) {
      const RackName& rack =
        aRequest.RequiresOneRack() ? worker.Rack() : aRequest.Rack();
      racks[rack] += std::min(worker.Total().CountFitting(aRequest.Need()),
                              worker.MaxTasks());
    }
  }
  return std::any_of(
    racks.begin(), racks.end(), [&aRequest](const auto& aRack) {
      return aRack.second >= aRequest.Count();
    });
}

}
