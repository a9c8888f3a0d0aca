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

/** A worker whose latest report is older gets no new tasks. The limit exceeds
 * the duration of a poll that waits for a run to end, plus its timeout. */
constexpr Milliseconds kMaxReportAge{ 2800 };
constexpr std::int32_t kNoLimit = std::numeric_limits<std::int32_t>::max();

/** Urgent work uses cold workers last. */
bool
IsUrgent(const TrackedJob& aJob)
{
  return aJob.Job().Priority() == 0;
}

bool
NeedsNoMoreThan(const PlacementRequest& aLess, const PlacementRequest& aMore)
{
  return aLess.Rack() == aMore.Rack() &&
         (!aLess.RequiresOneRack() || aMore.RequiresOneRack()) &&
         aLess.Count() <= aMore.Count() &&
         aLess.Need().MilliCores() <= aMore.Need().MilliCores() &&
         aLess.Need().MemoryMb() <= aMore.Need().MemoryMb() &&
         aLess.Need().Accelerators() <= aMore.Need().Accelerators();
}

CandidateWorker
WithOutlook(const CandidateWorker& aWorker, const WorkerOutlook& aOutlook)
{
  Reason ignored; // Only the name is checked, and it is set.
  return CandidateWorkerBuilder()
    .Name(aWorker.Name())
    .Rack(aWorker.Rack())
    .Free(aWorker.Free())
    .Total(aWorker.Total())
    .MaxTasks(aWorker.MaxTasks())
    .Penalty(aWorker.Penalty())
    .Outlook(aOutlook)
    .Build(ignored)
    .value_or(aWorker);
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
  if (isNew && !this->domain->AreStartsWithheld(this->now)) {
    const std::map<WorkerName, Resources> reserved =
      this->reservations->ReservedByWorker();
    for (const auto& [name, worker] : this->domain->Workers()) {
      if (worker.Listing().Service() != aService) {
        continue;
      }
      if (!this->domain->OutlookOf(worker).IsOpen()) {
        pool.closedRacks.insert(worker.Listing().Rack());
        continue;
      }
      if (this->MayTakeWork(worker)) {
        const auto found = reserved.find(name);
        pool.workers.push_back(this->MakeCandidate(
          worker, found == reserved.end() ? Resources() : found->second));
        const CandidateWorker& candidate = pool.workers.back();
        pool.hasColdWorkers = pool.hasColdWorkers || worker.IsCold(this->now);
        pool.freeAccelerators += candidate.Free().Accelerators();
        pool.totalAccelerators += candidate.Total().Accelerators();
      }
    }
  }
  return pool;
}

bool
PlacementView::MayTakeWork(const TrackedWorker& aWorker) const
{
  return aWorker.Listed() && !aWorker.Listing().IsLeaving() &&
         !aWorker.IsReplaced() && !aWorker.IsRefusingStarts(this->now) &&
         aWorker.IsIncarnationConfirmed() && !aWorker.HasUnknownRuns() &&
         this->now < aWorker.LastReport() + kMaxReportAge;
}

CandidateWorker
PlacementView::MakeCandidate(const TrackedWorker& aWorker,
                             const Resources& aReserved) const
{
  const WorkerListing& listing = aWorker.Listing();
  Reason ignored; // Only the name is checked, and it is set.
  return CandidateWorkerBuilder()
    .Name(listing.Name())
    .Rack(listing.Rack())
    .Free(aWorker.Free().Minus(aReserved))
    .Total(listing.Capacity())
    .MaxTasks(kNoLimit)
    .Penalty(aWorker.Penalty(this->now))
    .Outlook(this->domain->OutlookOf(aWorker))
    .Build(ignored)
    .value_or(CandidateWorker());
}

const std::vector<CandidateWorker>&
PlacementView::CandidatesFor(const TrackedJob& aJob,
                             const TaskUnit& aUnit,
                             const UnitRef& aRef)
{
  const Pool& pool = this->PoolOf(aJob.Job().Service());
  const JobStep& step = aJob.StepOf(aUnit);
  const auto kind = this->domain->DisturbedKindOf(aJob, aUnit);
  if (this->IsUnrestricted(aJob, aUnit, aRef)) {
    if (!kind) {
      return pool.workers;
    }
    this->restrictedWorkers.clear();
    for (const CandidateWorker& worker : pool.workers) {
      this->restrictedWorkers.push_back(WithOutlook(
        worker,
        this->domain->OutlookFor(worker.Name(), worker.Outlook(), *kind)));
    }
    return this->restrictedWorkers;
  }
  this->restrictedWorkers.clear();
  for (const CandidateWorker& worker : pool.workers) {
    const auto& labels =
      this->domain->Workers().at(worker.Name()).Listing().Labels();
    const bool hasLabel =
      step.Label().empty() ||
      std::find(labels.begin(), labels.end(), step.Label()) != labels.end();
    if (hasLabel) {
      this->restrictedWorkers.push_back(
        this->MakeCandidateFor(worker, aJob, aUnit, aRef));
    }
  }
  return this->restrictedWorkers;
}

CandidateWorker
PlacementView::MakeCandidateFor(const CandidateWorker& aWorker,
                                const TrackedJob& aJob,
                                const TaskUnit& aUnit,
                                const UnitRef& aRef) const
{
  const JobStep& step = aJob.StepOf(aUnit);
  const TrackedWorker& worker = this->domain->Workers().at(aWorker.Name());
  const std::int32_t maxTasks =
    step.MaxTasksPerWorker() == 0
      ? kNoLimit
      : step.MaxTasksPerWorker() -
          worker.CountOf(DomainState::AddressOf(aJob, aUnit, aUnit.First()));
  const auto kind = this->domain->DisturbedKindOf(aJob, aUnit);
  const bool isAvoided = IsUrgent(aJob) && worker.IsCold(this->now);
  Reason ignored; // Only the name is checked, and it is set.
  return CandidateWorkerBuilder()
    .Name(aWorker.Name())
    .Rack(aWorker.Rack())
    .Free(worker.Free().Minus(
      this->reservations->ReservedForOthers(aWorker.Name(), aRef)))
    .Total(aWorker.Total())
    .MaxTasks(maxTasks)
    .Penalty(aWorker.Penalty() + (isAvoided ? 1 : 0))
    .Outlook(
      kind ? this->domain->OutlookFor(aWorker.Name(), aWorker.Outlook(), *kind)
           : aWorker.Outlook())
    .Build(ignored)
    .value_or(aWorker);
}

void
PlacementView::RecordAllocation(const ServiceName& aService,
                                const WorkerName& aWorker)
{
  Pool& pool = this->PoolOf(aService);
  // The workers are in the order of their names.
  const auto position = std::lower_bound(
    pool.workers.begin(),
    pool.workers.end(),
    aWorker,
    [](const CandidateWorker& aCandidate, const WorkerName& aName) {
      return aCandidate.Name() < aName;
    });
  if (position != pool.workers.end() && position->Name() == aWorker) {
    pool.freeAccelerators -= position->Free().Accelerators();
    *position = this->MakeCandidate(
      this->domain->Workers().at(aWorker),
      this->reservations->ReservedForOthers(aWorker, UnitRef()));
    pool.freeAccelerators += position->Free().Accelerators();
  }
}

std::int64_t
PlacementView::FreeAccelerators(const ServiceName& aService)
{
  return this->PoolOf(aService).freeAccelerators;
}

std::int64_t
PlacementView::TotalAccelerators(const ServiceName& aService)
{
  return this->PoolOf(aService).totalAccelerators;
}

bool
PlacementView::IsClosedRack(const ServiceName& aService, const RackName& aRack)
{
  return this->PoolOf(aService).closedRacks.contains(aRack);
}

bool
PlacementView::HasAmpleRoom(const TrackedJob& aJob,
                            const TaskUnit& aUnit,
                            const UnitRef& aRef)
{
  const Resources& need = aJob.StepOf(aUnit).Need();
  std::int64_t fitting = 0;
  for (const CandidateWorker& worker : this->CandidatesFor(aJob, aUnit, aRef)) {
    fitting += std::min(worker.Free().CountFitting(need), worker.MaxTasks());
  }
  return fitting >= 2 * static_cast<std::int64_t>(aUnit.Count());
}

bool
PlacementView::IsUnrestricted(const TrackedJob& aJob,
                              const TaskUnit& aUnit,
                              const UnitRef& aRef)
{
  const JobStep& step = aJob.StepOf(aUnit);
  return step.Label().empty() && step.MaxTasksPerWorker() == 0 &&
         !this->reservations->HasReservation(aRef) &&
         !(IsUrgent(aJob) && this->PoolOf(aJob.Job().Service()).hasColdWorkers);
}

std::optional<std::vector<WorkerName>>
PlacementView::Find(const TrackedJob& aJob,
                    const TaskUnit& aUnit,
                    const UnitRef& aRef,
                    const PlacementRequest& aRequest)
{
  // A failed request is only cached and reused among units that may use the
  // same workers.
  const bool isUnrestricted = this->IsUnrestricted(aJob, aUnit, aRef);
  Pool& pool = this->PoolOf(aJob.Job().Service());
  const bool hasFailed =
    isUnrestricted && std::any_of(pool.failed.begin(),
                                  pool.failed.end(),
                                  [&aRequest](const PlacementRequest& aFailed) {
                                    return NeedsNoMoreThan(aFailed, aRequest);
                                  });
  if (hasFailed) {
    return std::nullopt;
  }
  auto places = FindPlaces(this->CandidatesFor(aJob, aUnit, aRef), aRequest);
  if (!places && isUnrestricted) {
    pool.failed.push_back(aRequest);
  }
  return places;
}

}
