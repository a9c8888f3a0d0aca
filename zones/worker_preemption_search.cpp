#include "zones/worker_preemption_search.h"

#include "zones/candidate_worker.h"
#include "zones/placement_request.h"
#include "zones/preemptible_run.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace sardinecourse {

namespace {

/** Free resources of a worker during the search, and the runs that could be
 * stopped on it. */
struct SearchedWorker
{
  const CandidateWorker* worker = nullptr;
  Resources free;
  std::int32_t tasks = 0;
  /** Positions of runs with their resources on this worker, in ascending order
   * of lost work. */
  std::vector<std::pair<std::size_t, Resources>> runs;
};

/** Runs to stop on one worker so that one more task fits there. Compared by
 * penalty first, then by lost work. */
struct PreemptionOption
{
  std::int32_t penalty = 0;
  double lostWork = 0.0;
  std::size_t worker = 0;
  std::vector<std::size_t> stopped;

  auto operator<=>(const PreemptionOption&) const = default;
};

/** Greedy search within one rack, or among all workers. */
class WorkerPreemptionSearch
{
public:
  WorkerPreemptionSearch(const std::vector<PreemptibleRun>& aRuns,
                         const PlacementRequest& aRequest)
    : runs(&aRuns)
    , request(&aRequest)
  {
  }

  void Add(const CandidateWorker& aWorker)
  {
    this->positions.emplace(aWorker.Name(), this->workers.size());
    SearchedWorker searched;
    searched.worker = &aWorker;
    searched.free = aWorker.Free();
    this->workers.push_back(std::move(searched));
  }

  /** Records that a run uses resources of a worker of this search. */
  void AddRun(const WorkerName& aWorker,
              std::size_t aRun,
              const Resources& aResources)
  {
    auto& here = this->workers[this->positions.at(aWorker)].runs;
    if (!here.empty() && here.back().first == aRun) {
      here.back().second = here.back().second.Plus(aResources);
    } else {
      here.emplace_back(aRun, aResources);
    }
  }

  std::optional<std::vector<std::size_t>> Run()
  {
    this->SortRuns();
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
      this->options.push_back(this->OptionFor(index));
    }
    for (std::int32_t task = 0; task < this->request->Count(); ++task) {
      const std::optional<PreemptionOption> option = this->CheapestOption();
      if (!option) {
        return std::nullopt;
      }
      this->Apply(*option);
    }
    return std::vector<std::size_t>(this->chosen.begin(), this->chosen.end());
  }

private:
  bool Fits(const Resources& aFree) const
  {
    return aFree.CountFitting(this->request->Need()) > 0;
  }

  void SortRuns()
  {
    for (SearchedWorker& worker : this->workers) {
      std::sort(worker.runs.begin(),
                worker.runs.end(),
                [this](const auto& aLeft, const auto& aRight) {
                  return (*this->runs)[aLeft.first].lostWork <
                         (*this->runs)[aRight.first].lostWork;
                });
    }
  }

  std::optional<PreemptionOption> CheapestOption() const
  {
    const auto cheapest =
      std::min_element(this->options.begin(),
                       this->options.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft && (!aRight || *aLeft < *aRight);
                       });
    return cheapest == this->options.end() ? std::nullopt : *cheapest;
  }

  std::optional<PreemptionOption> OptionFor(std::size_t aIndex) const
  {
    const SearchedWorker& searched = this->workers[aIndex];
    if (searched.tasks >= searched.worker->MaxTasks()) {
      return std::nullopt;
    }
    PreemptionOption option;
    option.penalty = searched.worker->Penalty();
    option.worker = aIndex;
    Resources free = searched.free;
    std::vector<std::pair<std::size_t, Resources>> stopped;
    for (const auto& [run, resources] : searched.runs) {
      if (this->Fits(free)) {
        break;
      }
      if (!this->chosen.contains(run)) {
        stopped.emplace_back(run, resources);
        free = free.Plus(resources);
      }
    }
    if (!this->Fits(free)) {
      return std::nullopt;
    }
    this->DropUnneeded(free, stopped, option);
    return option;
  }

  /** Keeps runs that need not be stopped after all, those with the most lost
   * work first; the others are added to aOption. */
  void DropUnneeded(Resources aFree,
                    std::vector<std::pair<std::size_t, Resources>>& aStopped,
                    PreemptionOption& aOption) const
  {
    for (std::size_t count = aStopped.size(); count > 0; --count) {
      const auto& [run, resources] = aStopped[count - 1];
      const Resources remaining = aFree.Minus(resources);
      if (this->Fits(remaining)) {
        aFree = remaining;
      } else {
        aOption.stopped.push_back(run);
        aOption.lostWork += (*this->runs)[run].lostWork;
      }
    }
  }

  /** Places one more task; the options of the workers that this changes are
   * computed again. */
  void Apply(const PreemptionOption& aOption)
  {
    std::set<std::size_t> changed{ aOption.worker };
    for (const std::size_t run : aOption.stopped) {
      this->chosen.insert(run);
      for (const auto& [name, resources] : (*this->runs)[run].resources) {
        const auto found = this->positions.find(name);
        if (found != this->positions.end()) {
          SearchedWorker& worker = this->workers[found->second];
          worker.free = worker.free.Plus(resources);
          changed.insert(found->second);
        }
      }
    }
    SearchedWorker& target = this->workers[aOption.worker];
    target.free = target.free.Minus(this->request->Need());
    ++target.tasks;
    for (const std::size_t worker : changed) {
      this->options[worker] = this->OptionFor(worker);
    }
  }

  const std::vector<PreemptibleRun>* runs;
  const PlacementRequest* request;
  std::vector<SearchedWorker> workers;
  std::unordered_map<WorkerName, std::size_t> positions;
  /** Cheapest option of each worker, by its position. */
  std::vector<std::optional<PreemptionOption>> options;
  std::set<std::size_t> chosen;
};

}

std::optional<std::vector<std::size_t>>
ChoosePreemptedByWorker(const std::vector<CandidateWorker>& aWorkers,
                        const std::vector<PreemptibleRun>& aRuns,
                        const PlacementRequest& aRequest)
{
  std::map<RackName, WorkerPreemptionSearch> searches;
  std::unordered_map<WorkerName, WorkerPreemptionSearch*> searchOf;
  for (const CandidateWorker& worker : aWorkers) {
    const bool isAllowed =
      aRequest.Rack().Empty() || worker.Rack() == aRequest.Rack();
    if (isAllowed) {
      // Without a rack constraint, all workers are searched together.
      const RackName rack =
        aRequest.RequiresOneRack() ? worker.Rack() : RackName();
      WorkerPreemptionSearch& search =
        searches.try_emplace(rack, aRuns, aRequest).first->second;
      search.Add(worker);
      searchOf.emplace(worker.Name(), &search);
    }
  }
  for (std::size_t run = 0; run < aRuns.size(); ++run) {
    for (const auto& [name, resources] : aRuns[run].resources) {
      const auto found = searchOf.find(name);
      if (found != searchOf.end()) {
        found->second->AddRun(name, run, resources);
      }
    }
  }
  std::optional<std::vector<std::size_t>> best;
  for (auto& [rack, search] : searches) {
    auto chosen = search.Run();
    if (chosen &&
        (!best || LostWorkOf(aRuns, *chosen) < LostWorkOf(aRuns, *best))) {
      best = std::move(chosen);
    }
  }
  return best;
}

}
