#include "zones/placement_view.h"

#include "core/reason.h"
#include "zones/candidate_worker_builder.h"
#include "zones/domain_state.h"
#include "zones/place_search.h"
#include "zones/preemption_reservations.h"

#include <algorithm>
#include <limits>

namespace sardinecourse {

namespace {

/** A worker whose last look is older takes no new work. It is longer than a
 * look that waits for an end, and its timeout. */
constexpr Milliseconds kFreshLook{ 2800 };
constexpr std::int32_t kNoLimit = std::numeric_limits<std::int32_t>::max();

bool
AsksForNoMore(const PlacementRequest& aLess, const PlacementRequest& aMore)
{
  return aLess.Rack() == aMore.Rack() &&
         (!aLess.RequiresOneRack() || aMore.RequiresOneRack()) &&
         aLess.Count() <= aMore.Count() &&
         aLess.Need().MilliCores() <= aMore.Need().MilliCores() &&
         aLess.Need().MemoryMb() <= aMore.Need().MemoryMb() &&
         aLess.Need().Accelerators() <= aMore.Need().Accelerators();
}

}

PlacementView::PlacementView(const DomainState& aDomain,
                             const PreemptionReservations& aReservations,
                             Instant aNow)
  : domain(&aDomain)
  , reservations(&aReservations)
  , now(aNow)
{
}

PlacementView::Pool&
PlacementView::PoolOf(const ServiceName& aService)
{
  const auto [position, isNew] = this->pools.try_emplace(aService);
  Pool& pool = position->second;
  if (isNew) {
    for (const auto& [name, worker] : this->domain->Workers()) {
      if (worker.Listing().Service() == aService && this->MayTakeWork(worker)) {
        pool.positions.emplace(name, pool.workers.size());
        pool.workers.push_back(this->MakeCandidate(worker));
        const CandidateWorker& seen = pool.workers.back();
        pool.freeAccelerators += seen.Free().Accelerators();
        pool.wholeAccelerators += seen.Total().Accelerators();
      }
    }
  }
  return pool;
}

bool
PlacementView::MayTakeWork(const TrackedWorker& aWorker) const
{
  return aWorker.Listed() && !aWorker.Listing().IsLeaving() &&
         !aWorker.IsReplaced() && aWorker.HasAnswered() &&
         this->now < aWorker.LastReport() + kFreshLook;
}

CandidateWorker
PlacementView::MakeCandidate(const TrackedWorker& aWorker) const
{
  const WorkerListing& listing = aWorker.Listing();
  Reason ignored; // Every worker has a name.
  return CandidateWorkerBuilder()
    .Name(listing.Name())
    .Rack(listing.Rack())
    .Free(aWorker.Free().Minus(
      this->reservations->ReservedForOthers(listing.Name(), UnitRef())))
    .Total(listing.Capacity())
    .MaxTasks(kNoLimit)
    .Penalty(aWorker.Penalty(this->now))
    .Build(ignored)
    .value_or(CandidateWorker());
}

const std::vector<CandidateWorker>&
PlacementView::For(const TrackedJob& aJob,
                   const TaskUnit& aUnit,
                   const UnitRef& aRef)
{
  const Pool& pool = this->PoolOf(aJob.Job().Service());
  const JobStep& step = aJob.StepOf(aUnit);
  if (this->IsPlain(aJob, aUnit, aRef)) {
    return pool.workers;
  }
  this->narrowed.clear();
  for (const CandidateWorker& worker : pool.workers) {
    const auto& labels =
      this->domain->Workers().at(worker.Name()).Listing().Labels();
    const bool isLabelled =
      step.Label().empty() ||
      std::find(labels.begin(), labels.end(), step.Label()) != labels.end();
    if (isLabelled) {
      this->narrowed.push_back(this->Narrowed(worker, aJob, aUnit, aRef));
    }
  }
  return this->narrowed;
}

CandidateWorker
PlacementView::Narrowed(const CandidateWorker& aWorker,
                        const TrackedJob& aJob,
                        const TaskUnit& aUnit,
                        const UnitRef& aRef) const
{
  const JobStep& step = aJob.StepOf(aUnit);
  const TrackedWorker& worker = this->domain->Workers().at(aWorker.Name());
  const std::int32_t most =
    step.MaxTasksPerWorker() == 0
      ? kNoLimit
      : step.MaxTasksPerWorker() -
          worker.CountOf(DomainState::AddressOf(aJob, aUnit, aUnit.First()));
  Reason ignored; // Every worker has a name.
  return CandidateWorkerBuilder()
    .Name(aWorker.Name())
    .Rack(aWorker.Rack())
    .Free(worker.Free().Minus(
      this->reservations->ReservedForOthers(aWorker.Name(), aRef)))
    .Total(aWorker.Total())
    .MaxTasks(most)
    .Penalty(aWorker.Penalty())
    .Build(ignored)
    .value_or(aWorker);
}

void
PlacementView::RecordAllocation(const ServiceName& aService,
                                const WorkerName& aWorker)
{
  Pool& pool = this->PoolOf(aService);
  const auto position = pool.positions.find(aWorker);
  if (position != pool.positions.end()) {
    CandidateWorker& seen = pool.workers[position->second];
    pool.freeAccelerators -= seen.Free().Accelerators();
    seen = this->MakeCandidate(this->domain->Workers().at(aWorker));
    pool.freeAccelerators += seen.Free().Accelerators();
  }
}

std::int64_t
PlacementView::FreeAccelerators(const ServiceName& aService)
{
  return this->PoolOf(aService).freeAccelerators;
}

std::int64_t
PlacementView::WholeAccelerators(const ServiceName& aService)
{
  return this->PoolOf(aService).wholeAccelerators;
}

bool
PlacementView::IsPlain(const TrackedJob& aJob,
                       const TaskUnit& aUnit,
                       const UnitRef& aRef) const
{
  const JobStep& step = aJob.StepOf(aUnit);
  return step.Label().empty() && step.MaxTasksPerWorker() == 0 &&
         !this->reservations->HasReservation(aRef);
}

std::optional<std::vector<WorkerName>>
PlacementView::Find(const TrackedJob& aJob,
                    const TaskUnit& aUnit,
                    const UnitRef& aRef,
                    const PlacementRequest& aWish)
{
  // Failures tell something only of units that may use the same workers.
  const bool isPlain = this->IsPlain(aJob, aUnit, aRef);
  Pool& pool = this->PoolOf(aJob.Job().Service());
  const bool hasFailed =
    isPlain && std::any_of(pool.failed.begin(),
                           pool.failed.end(),
                           [&aWish](const PlacementRequest& aFailed) {
                             return AsksForNoMore(aFailed, aWish);
                           });
  if (hasFailed) {
    return std::nullopt;
  }
  auto places = FindPlaces(this->For(aJob, aUnit, aRef), aWish);
  if (!places && isPlain) {
    pool.failed.push_back(aWish);
  }
  return places;
}

}
