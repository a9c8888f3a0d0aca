#include "zones/domain_reclaim.h"

#include "zones/domain_state.h"
#include "zones/place_search.h"
#include "zones/placement_view.h"
#include "zones/preemptible_run.h"
#include "zones/preemption_reservations.h"
#include "zones/preemption_search.h"
#include "zones/step_placement_request.h"
#include "zones/work_size.h"

#include <algorithm>

namespace sardinecourse {

namespace {

/** Time that a reclaim needs in addition to the stops: sending orders, the poll
 * that lists the ended runs, and the starts. */
constexpr Milliseconds kReclaimOverhead{ 1300 };
/** A search for runs to stop costs more than a search for free resources, so
 * each unit makes one at most this often. */
constexpr Milliseconds kReclaimRetry{ 200 };
/** Resources that are being freed stay reserved for their unit for this long.
 */
constexpr Milliseconds kReservationTime{ 2500 };
/** Maximum work that a checkpointing task loses when it is stopped, in seconds.
 */
constexpr double kMaxCheckpointLossSeconds = 0.5;
constexpr double kPercent = 100.0;

}

DomainReclaim::DomainReclaim(DomainState& aDomain,
                             PreemptionReservations& aReservations,
                             PlacementView& aView,
                             Instant aNow,
                             double aMaxPreemptionWaste)
  : domain(&aDomain)
  , reservations(&aReservations)
  , view(&aView)
  , now(aNow)
  , maxPreemptionWaste(aMaxPreemptionWaste)
{
}

bool
DomainReclaim::IsGuaranteed(const TrackedJob& aJob) const
{
  std::int64_t needed = 0;
  for (const JobKey& key : this->domain->Active()) {
    const TrackedJob& job = *this->domain->FindJob(key);
    const bool counts = !job.Final() && job.Job().Priority() == 0 &&
                        job.Job().Team() == aJob.Job().Team();
    if (!counts) {
      continue;
    }
    std::int64_t maxAccelerators = 0;
    for (const JobStep& step : job.Job().Plan().Steps()) {
      maxAccelerators =
        std::max(maxAccelerators, step.Need().Accelerators() * step.Count());
    }
    needed += maxAccelerators;
  }
  return needed <= this->domain->GuaranteeOf(aJob.Job().Team());
}

std::vector<PreemptibleRun>
DomainReclaim::PreemptibleBy(const TrackedJob& aJob,
                             std::vector<UnitRef>& aUnits) const
{
  std::vector<PreemptibleRun> runs;
  for (const JobKey& key : this->domain->Active()) {
    TrackedJob& job = *this->domain->FindJob(key);
    if (job.Job().Priority() <= aJob.Job().Priority()) {
      continue;
    }
    for (const auto& [number, unit] : job.OpenUnits()) {
      if (!unit.Idle()) {
        runs.push_back(this->PreemptibleRunOf(job, unit));
        aUnits.push_back(UnitRef{ key, number });
      }
    }
  }
  return runs;
}

void
DomainReclaim::Preempt(const UnitRef& aUnit,
                       const UnitRef& aInFavourOf,
                       double aLostWork)
{
  TaskUnit& unit = this->domain->FindJob(aUnit.job)->Open(aUnit.unit);
  if (aLostWork > 0.0) {
    this->preempted.push_back(
      PreemptedUnit{ aUnit, unit.Run(), aInFavourOf, aLostWork });
  }
  unit.Abandon(StopCause::kPreempted);
}

PreemptibleRun
DomainReclaim::PreemptibleRunOf(const TrackedJob& aJob,
                                const TaskUnit& aUnit) const
{
  const JobStep& step = aJob.StepOf(aUnit);
  double ran = Seconds(this->now - aUnit.StartedAt());
  if (aUnit.IsInherited()) {
    // When the run started is unknown to this holder, so its elapsed time is
    // also estimated from the reported progress.
    ran = std::max(ran, aUnit.Percent() / kPercent * Seconds(step.Estimate()));
  }
  if (step.IsCheckpointing()) {
    ran = std::min(kMaxCheckpointLossSeconds, ran);
  }
  PreemptibleRun run;
  const bool isEnding = aUnit.Abandoned() || aUnit.Done() || aJob.Final();
  run.lostWork = isEnding ? 0.0
                          : ran * CoreEquivalents(step.Need()) *
                              static_cast<double>(aUnit.Count());
  for (const MemberRun& member : aUnit.Members()) {
    if (member.phase != MemberPhase::kGone) {
      run.resources.emplace_back(member.worker, step.Need());
    }
  }
  return run;
}

/** Only jobs of priority 0 preempt others: at once while little work is lost by
 * it, and regardless of the lost work when a guaranteed job would otherwise be
 * late. */
void
DomainReclaim::ReclaimFor(const TrackedJob& aJob,
                          TaskUnit& aUnit,
                          const UnitRef& aRef)
{
  const bool wasTriedRecently =
    aUnit.ReclaimTried() && this->now < *aUnit.ReclaimTried() + kReclaimRetry;
  if (aJob.Job().Priority() != 0 || wasTriedRecently ||
      this->reservations->HasReservation(aRef)) {
    return;
  }
  aUnit.NoteReclaimTried(this->now);
  const Milliseconds latest = this->domain->Timing().ReclaimTime() -
                              this->domain->Timing().StopTime() -
                              kReclaimOverhead;
  const Clock::duration waited = this->now - aJob.FirstSeen();
  const bool isDue = waited >= latest && this->IsGuaranteed(aJob);
  const JobStep& step = aJob.StepOf(aUnit);
  const double ownWork =
    CoreEquivalentsOf(step, aUnit.Count()) * Seconds(step.Estimate());
  std::vector<UnitRef> refs;
  const std::vector<PreemptibleRun> runs = this->PreemptibleBy(aJob, refs);
  const std::vector<CandidateWorker>& workers =
    this->view->CandidatesFor(aJob, aUnit, aRef);
  for (const bool isLocal : { true, false }) {
    const PlacementRequest request =
      MakePlacementRequest(step, aUnit.Count(), isLocal);
    const auto chosen = ChoosePreempted(workers, runs, request);
    if (!chosen) {
      continue;
    }
    const double lostWork = LostWorkOf(runs, *chosen);
    if (!isDue && lostWork > this->maxPreemptionWaste * ownWork) {
      continue;
    }
    for (const std::size_t position : *chosen) {
      this->Preempt(refs[position], aRef, runs[position].lostWork);
    }
    const auto places =
      FindPlaces(WithoutRuns(workers, runs, *chosen), request);
    if (places) {
      this->reservations->Reserve(
        aRef, *places, step.Need(), this->now + kReservationTime);
    }
    return;
  }
}

}
