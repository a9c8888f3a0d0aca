#include "zones/neighbours/neighbour_effects.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace sardinecourse {

static_assert(kMaxKinds == 16, "a set of kinds has 16 bits");

std::optional<NeighbourEffects::Kind>
NeighbourEffects::FindKind(const KindOfWork& aKind) const
{
  const auto found = std::find(this->kinds.begin(), this->kinds.end(), aKind);
  return found == this->kinds.end()
           ? std::nullopt
           : std::optional(static_cast<Kind>(found - this->kinds.begin()));
}

std::optional<NeighbourEffects::Kind>
NeighbourEffects::KindOf(const KindOfWork& aKind)
{
  const auto found = this->FindKind(aKind);
  if (found || this->kinds.size() == kMaxKinds) {
    return found;
  }
  this->kinds.push_back(aKind);
  return static_cast<Kind>(this->kinds.size() - 1);
}

std::vector<NeighbourEffects::EndedRun>
NeighbourEffects::NoteReport(const WorkerName& aWorker,
                             const std::vector<ReportedRun>& aRuns)
{
  std::array<std::int32_t, kMaxKinds> counts{};
  for (const ReportedRun& reported : aRuns) {
    ++counts[reported.kind];
  }
  Worker& worker = this->workers[aWorker];
  worker.kinds = 0;
  for (std::size_t kind = 0; kind < kMaxKinds; ++kind) {
    worker.kinds |= counts[kind] > 0 ? 1U << kind : 0U;
  }
  std::vector<TrackedRun> before = std::exchange(worker.runs, {});
  for (const ReportedRun& reported : aRuns) {
    const auto found = std::find_if(
      before.begin(), before.end(), [&reported](const TrackedRun& aRun) {
        return aRun.run == reported.run;
      });
    TrackedRun run;
    if (found != before.end()) {
      run = *found;
      before.erase(found);
    } else {
      run.run = reported.run;
      run.kind = reported.kind;
    }
    if (run.reports < std::numeric_limits<std::uint16_t>::max()) {
      ++run.reports;
      for (std::size_t kind = 0; kind < kMaxKinds; ++kind) {
        const std::int32_t own = kind == run.kind ? 1 : 0;
        run.beside[kind] += counts[kind] > own ? 1 : 0;
      }
    }
    if (worker.runs.size() < kMaxRunsOfWorker) {
      worker.runs.push_back(run);
    }
  }
  std::vector<EndedRun> ended;
  for (const TrackedRun& run : before) {
    EndedRun end{ run.run, run.kind, {} };
    for (std::size_t kind = 0; kind < kMaxKinds; ++kind) {
      end.beside[kind] = static_cast<double>(run.beside[kind]) / run.reports;
    }
    ended.push_back(end);
  }
  return ended;
}

void
NeighbourEffects::NoteStart(const WorkerName& aWorker, Kind aKind)
{
  this->workers[aWorker].kinds |= 1U << aKind;
}

void
NeighbourEffects::NoteRate(const EndedRun& aRun, double aLogRate)
{
  this->evidence[aRun.kind].Add(aRun.beside, aLogRate);
  this->hasNewRuns = true;
}

void
NeighbourEffects::Forget(const WorkerName& aWorker)
{
  this->workers.erase(aWorker);
}

void
NeighbourEffects::Fit(Instant aNow)
{
  if (!this->hasNewRuns || aNow < this->lastFit + kFitInterval) {
    return;
  }
  this->lastFit = aNow;
  this->hasNewRuns = false;
  this->hasEffects = false;
  for (std::size_t kind = 0; kind < this->kinds.size(); ++kind) {
    const auto found = this->evidence[kind].Slowdowns();
    for (std::size_t beside = 0; beside < this->kinds.size(); ++beside) {
      this->UpdateEffect(
        static_cast<Kind>(kind), static_cast<Kind>(beside), found[beside]);
    }
  }
}

void
NeighbourEffects::UpdateEffect(Kind aKind, Kind aBeside, double aSlowdown)
{
  double& slowdown = this->slowdowns[aKind][aBeside];
  if ((slowdown > 0.0) != (aSlowdown > 0.0)) {
    this->changes.push_back(
      KindPair{ this->kinds[aKind], this->kinds[aBeside], aSlowdown });
  }
  slowdown = aSlowdown;
  this->hasEffects = this->hasEffects || aSlowdown > 0.0;
}

bool
NeighbourEffects::HasEffects(Kind aKind) const
{
  for (std::size_t other = 0; other < kMaxKinds; ++other) {
    if (this->slowdowns[aKind][other] > 0.0 ||
        this->slowdowns[other][aKind] > 0.0) {
      return true;
    }
  }
  return false;
}

double
NeighbourEffects::DisturbanceOn(const WorkerName& aWorker, Kind aKind) const
{
  const auto worker = this->workers.find(aWorker);
  double disturbance = 0.0;
  if (worker == this->workers.end()) {
    return disturbance;
  }
  for (std::size_t other = 0; other < kMaxKinds; ++other) {
    if ((worker->second.kinds & (1U << other)) != 0) {
      disturbance +=
        this->slowdowns[aKind][other] + this->slowdowns[other][aKind];
    }
  }
  return disturbance;
}

std::vector<KindPair>
NeighbourEffects::TakeChanges()
{
  return std::exchange(this->changes, {});
}

}
