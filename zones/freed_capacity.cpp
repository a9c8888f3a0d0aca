#include "zones/freed_capacity.h"

#include "zones/candidate_worker.h"
#include "zones/placement_request.h"
#include "zones/preemptible_run.h"

#include <algorithm>
#include <unordered_map>

namespace sardinecourse {

FreedCapacity::FreedCapacity(const std::vector<CandidateWorker>& aWorkers,
                             const std::vector<PreemptibleRun>& aRuns,
                             const PlacementRequest& aRequest)
  : need(aRequest.Need())
  , count(aRequest.Count())
{
  std::unordered_map<RackName, Group> groups;
  std::unordered_map<WorkerName, std::size_t> positions;
  for (const CandidateWorker& worker : aWorkers) {
    if (!aRequest.Rack().Empty() && worker.Rack() != aRequest.Rack()) {
      continue;
    }
    const RackName group =
      aRequest.RequiresOneRack() ? worker.Rack() : RackName();
    Worker counted;
    counted.free = worker.Free();
    counted.maxTasks = worker.MaxTasks();
    counted.group = groups.try_emplace(group, groups.size()).first->second;
    positions.emplace(worker.Name(), this->workers.size());
    this->workers.push_back(counted);
  }
  this->fittingTasks.resize(groups.size());
  if (this->count <= 0) {
    this->fittingGroups = static_cast<std::int64_t>(groups.size());
  }
  for (Worker& worker : this->workers) {
    this->Recount(worker);
  }
  this->members.resize(aRuns.size());
  for (std::size_t run = 0; run < aRuns.size(); ++run) {
    for (const auto& [name, resources] : aRuns[run].resources) {
      const auto found = positions.find(name);
      if (found != positions.end()) {
        this->members[run].emplace_back(found->second, resources);
      }
    }
  }
}

void
FreedCapacity::Apply(std::size_t aRun, std::int64_t aSign)
{
  for (const auto& [position, resources] : this->members[aRun]) {
    Worker& worker = this->workers[position];
    worker.free = worker.free.Plus(resources.Times(aSign));
    this->Recount(worker);
  }
}

void
FreedCapacity::Recount(Worker& aWorker)
{
  const std::int64_t fitting = std::max<std::int64_t>(
    std::min<std::int64_t>(aWorker.free.CountFitting(this->need),
                           aWorker.maxTasks),
    0);
  std::int64_t& total = this->fittingTasks[aWorker.group];
  const bool didFit = total >= this->count;
  total += fitting - aWorker.fittingTasks;
  aWorker.fittingTasks = fitting;
  const bool doesFit = total >= this->count;
  this->fittingGroups += static_cast<int>(doesFit) - static_cast<int>(didFit);
}

}
