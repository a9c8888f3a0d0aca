#include "zones/locality/few_data_centres.h"

#include "zones/candidate_worker.h"
#include "zones/domain_state.h"
#include "zones/place_search.h"
#include "zones/placement_request.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace sardinecourse {

namespace {

/** The worst of the workers of a placement. */
struct PlacementQuality
{
  std::int32_t maxPenalty = 0;
  double minPace = std::numeric_limits<double>::max();

  bool IsWorseThan(const PlacementQuality& aOther) const
  {
    return this->maxPenalty > aOther.maxPenalty ||
           this->minPace < aOther.minPace;
  }
};

PlacementQuality
QualityOf(const std::vector<CandidateWorker>& aWorkers,
          const std::vector<WorkerName>& aPlaces)
{
  const std::set<WorkerName> places(aPlaces.begin(), aPlaces.end());
  PlacementQuality quality;
  for (const CandidateWorker& worker : aWorkers) {
    if (places.contains(worker.Name())) {
      quality.maxPenalty = std::max(quality.maxPenalty, worker.Penalty());
      quality.minPace = std::min(quality.minPace, worker.Outlook().Pace());
    }
  }
  return quality;
}

std::int64_t
TasksThatFit(const std::vector<CandidateWorker>& aWorkers,
             const PlacementRequest& aRequest)
{
  std::int64_t tasks = 0;
  for (const CandidateWorker& worker : aWorkers) {
    tasks +=
      std::min(worker.Free().CountFitting(aRequest.Need()), worker.MaxTasks());
  }
  return tasks;
}

}

std::vector<WorkerName>
FindPlacesInFewDataCentres(const DomainState& aDomain,
                           const std::vector<CandidateWorker>& aWorkers,
                           const PlacementRequest& aRequest,
                           const std::vector<WorkerName>& aPlaces)
{
  std::map<DataCentreName, std::vector<CandidateWorker>> dataCentres;
  for (const CandidateWorker& worker : aWorkers) {
    dataCentres[aDomain.Workers().at(worker.Name()).Listing().DataCentre()]
      .push_back(worker);
  }
  std::vector<std::pair<std::int64_t, const std::vector<CandidateWorker>*>>
    byRoom;
  byRoom.reserve(dataCentres.size());
  for (const auto& [name, workers] : dataCentres) {
    byRoom.emplace_back(TasksThatFit(workers, aRequest), &workers);
  }
  // Those of equal room stay in the order of their names.
  std::stable_sort(
    byRoom.begin(), byRoom.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  // The fullest data centre in which the gang fits leaves the others to wider
  // gangs. A gang that fits into none starts with the emptiest.
  const auto fits = std::find_if(
    byRoom.begin(), byRoom.end(), [&aRequest](const auto& aDataCentre) {
      return aDataCentre.first >= aRequest.Count();
    });
  std::rotate(byRoom.begin(), fits, byRoom.end());
  if (fits == byRoom.end()) {
    std::reverse(byRoom.begin(), byRoom.end());
  }
  std::vector<WorkerName> places;
  const auto count = static_cast<std::size_t>(aRequest.Count());
  for (const auto& [room, workers] : byRoom) {
    const std::vector<WorkerName> here = FindSomePlaces(*workers, aRequest);
    const std::size_t taken = std::min(here.size(), count - places.size());
    places.insert(places.end(),
                  here.begin(),
                  here.begin() + static_cast<std::ptrdiff_t>(taken));
  }
  const bool isWorse =
    places.size() < count ||
    QualityOf(aWorkers, places).IsWorseThan(QualityOf(aWorkers, aPlaces));
  return isWorse ? aPlaces : places;
}

}
