#include "zones/worker_preemption_search.h"

#include "zones/candidate_worker.h"
#include "zones/placement_request.h"
#include "zones/preemptible_run.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace sardinecourse {

namespace {

/** What a worker has left, and which runs could be stopped there. */
struct ClearedWorker
{
  const CandidateWorker* worker = nullptr;
  Resources free;
  std::int32_t tasks = 0;
  /** Runs with their room here, the least waste first. */
  std::vector<std::pair<std::size_t, Resources>> runs;
};

/** Making room for one task on one worker. */
struct Clearing
{
  std::int32_t penalty = 0;
  double waste = 0.0;
  std::size_t worker = 0;
  std::vector<std::size_t> stopped;

  auto operator<=>(const Clearing&) const = default;
};

/** The search within one rack, or within all workers. */
class ClearingSearch
{
public:
  ClearingSearch(const std::vector<PreemptibleRun>& aRuns,
                 const PlacementRequest& aWish)
    : runs(&aRuns)
    , wish(&aWish)
  {
  }

  void Add(const CandidateWorker& aWorker)
  {
    this->positions.emplace(aWorker.Name(), this->workers.size());
    ClearedWorker cleared;
    cleared.worker = &aWorker;
    cleared.free = aWorker.Free();
    this->workers.push_back(std::move(cleared));
  }

  std::optional<std::vector<std::size_t>> Run()
  {
    this->SpreadRuns();
    for (std::int32_t task = 0; task < this->wish->Count(); ++task) {
      const std::optional<Clearing> clearing = this->Cheapest();
      if (!clearing) {
        return std::nullopt;
      }
      this->Take(*clearing);
    }
    return std::vector<std::size_t>(this->chosen.begin(), this->chosen.end());
  }

private:
  bool Fits(const Resources& aFree) const
  {
    return aFree.Holds(this->wish->Need()) > 0;
  }

  void SpreadRuns()
  {
    for (std::size_t run = 0; run < this->runs->size(); ++run) {
      for (const auto& [name, room] : (*this->runs)[run].room) {
        const auto found = this->positions.find(name);
        if (found == this->positions.end()) {
          continue;
        }
        auto& here = this->workers[found->second].runs;
        if (!here.empty() && here.back().first == run) {
          here.back().second = here.back().second.Plus(room);
        } else {
          here.emplace_back(run, room);
        }
      }
    }
    for (ClearedWorker& worker : this->workers) {
      std::sort(worker.runs.begin(),
                worker.runs.end(),
                [this](const auto& aLeft, const auto& aRight) {
                  return (*this->runs)[aLeft.first].waste <
                         (*this->runs)[aRight.first].waste;
                });
    }
  }

  std::optional<Clearing> Cheapest() const
  {
    std::optional<Clearing> best;
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
      std::optional<Clearing> clearing = this->ClearingOf(index);
      if (clearing && (!best || *clearing < *best)) {
        best = std::move(clearing);
      }
    }
    return best;
  }

  std::optional<Clearing> ClearingOf(std::size_t aIndex) const
  {
    const ClearedWorker& cleared = this->workers[aIndex];
    if (cleared.tasks >= cleared.worker->MaxTasks()) {
      return std::nullopt;
    }
    Clearing clearing;
    clearing.penalty = cleared.worker->Penalty();
    clearing.worker = aIndex;
    Resources free = cleared.free;
    std::vector<std::pair<std::size_t, Resources>> stopped;
    for (const auto& [run, room] : cleared.runs) {
      if (this->Fits(free)) {
        break;
      }
      if (!this->chosen.contains(run)) {
        stopped.emplace_back(run, room);
        free = free.Plus(room);
      }
    }
    if (!this->Fits(free)) {
      return std::nullopt;
    }
    this->Spare(free, stopped, clearing);
    return clearing;
  }

  /** Leaves out what turned out not to be needed, the dearest first. */
  void Spare(Resources aFree,
             std::vector<std::pair<std::size_t, Resources>>& aStopped,
             Clearing& aClearing) const
  {
    for (std::size_t count = aStopped.size(); count > 0; --count) {
      const auto& [run, room] = aStopped[count - 1];
      const Resources less = aFree.Minus(room);
      if (this->Fits(less)) {
        aFree = less;
      } else {
        aClearing.stopped.push_back(run);
        aClearing.waste += (*this->runs)[run].waste;
      }
    }
  }

  void Take(const Clearing& aClearing)
  {
    for (const std::size_t run : aClearing.stopped) {
      this->chosen.insert(run);
      for (const auto& [name, room] : (*this->runs)[run].room) {
        const auto found = this->positions.find(name);
        if (found != this->positions.end()) {
          ClearedWorker& worker = this->workers[found->second];
          worker.free = worker.free.Plus(room);
        }
      }
    }
    ClearedWorker& taken = this->workers[aClearing.worker];
    taken.free = taken.free.Minus(this->wish->Need());
    ++taken.tasks;
  }

  const std::vector<PreemptibleRun>* runs;
  const PlacementRequest* wish;
  std::vector<ClearedWorker> workers;
  std::map<WorkerName, std::size_t> positions;
  std::set<std::size_t> chosen;
};

}

std::optional<std::vector<std::size_t>>
ChoosePreemptedByWorker(const std::vector<CandidateWorker>& aWorkers,
                        const std::vector<PreemptibleRun>& aRuns,
                        const PlacementRequest& aWish)
{
  std::map<RackName, ClearingSearch> searches;
  for (const CandidateWorker& worker : aWorkers) {
    const bool isAllowed =
      aWish.Rack().Empty() || worker.Rack() == aWish.Rack();
    if (isAllowed) {
      // Without a rack to keep to, all workers are searched together.
      const RackName rack =
        aWish.RequiresOneRack() ? worker.Rack() : RackName();
      searches.try_emplace(rack, aRuns, aWish).first->second.Add(worker);
    }
  }
  std::optional<std::vector<std::size_t>> best;
  for (auto& [rack, search] : searches) {
    auto chosen = search.Run();
    if (chosen && (!best || WasteOf(aRuns, *chosen) < WasteOf(aRuns, *best))) {
      best = std::move(chosen);
    }
  }
  return best;
}

}
