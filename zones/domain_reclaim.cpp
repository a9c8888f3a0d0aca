#include "zones/domain_reclaim.h"

#include "zones/domain_state.h"
#include "zones/fairness/guarantee_use.h"
#include "zones/placement_view.h"
#include "zones/preemptible_run.h"
#include "zones/preemption_reservations.h"
#include "zones/step_placement_request.h"
#include "zones/stops/job_objective.h"
#include "zones/stops/run_forecast.h"
#include "zones/stops/stop_choice.h"
#include "zones/stops/stop_limits.h"
#include "zones/work_size.h"

#include <algorithm>
#include <limits>

namespace sardinecourse {

namespace {

/** Time that a reclaim needs in addition to the stops, at most: sending orders,
 * the poll that lists the ended runs, and the starts. */
constexpr Milliseconds kReclaimOverhead{ 1300 };
/** The same while nothing fails: the poll that lists the end of a run, and the
 * start in its place. */
constexpr Milliseconds kUsualOverhead{ 200 };
/** A search for runs to stop costs more than a search for free resources, so
 * each unit makes one at most this often. */
constexpr Milliseconds kReclaimRetry{ 200 };
/** Resources that are being freed stay reserved for their unit for this long.
 */
constexpr Milliseconds kReservationTime{ 2500 };
/** A run that is expected to end by itself within this time is not stopped: a
 * stop usually takes as long. */
constexpr Milliseconds kMaxAwaited{ 200 };
/** A run may end this much later than its progress suggests. */
constexpr Milliseconds kForecastMargin{ 300 };
/** Maximum work that a checkpointing task loses when it is stopped, in seconds.
 */
constexpr double kMaxCheckpointLossSeconds = 0.5;
constexpr double kPercent = 100.0;

/** Estimated work of aTasks tasks of a step, in core-seconds. */
double
OwnWork(const JobStep& aStep, std::int32_t aTasks)
{
  return CoreEquivalentsOf(aStep, aTasks) * Seconds(aStep.Estimate());
}

}

DomainReclaim::DomainReclaim(DomainState& aDomain,
                             PreemptionReservations& aReservations,
                             PlacementView& aView,
                             Instant aNow,
                             WallTime aWallTime,
                             double aMaxPreemptionWaste)
  : domain(&aDomain)
  , reservations(&aReservations)
  , view(&aView)
  , now(aNow)
  , wallTime(aWallTime)
  , maxPreemptionWaste(aMaxPreemptionWaste)
{
}

Milliseconds
DomainReclaim::Waited(const TrackedJob& aJob, const TaskUnit& aUnit) const
{
  const JobPlan& plan = aJob.Job().Plan();
  return plan.IsTimed() ? this->wallTime - plan.DueOf(aUnit.Occurrence())
                        : std::chrono::duration_cast<Milliseconds>(
                            this->now - aJob.FirstSeen());
}

double
DomainReclaim::Slowdown(const JobStep& aStep, bool aIsLocal) const
{
  const bool isSlowed =
    !aIsLocal && (aStep.PrefersOneRack() || !aStep.DataRack().Empty());
  return isSlowed ? this->domain->Timing().RemoteSlowdown() - 1.0 : 0.0;
}

Milliseconds
DomainReclaim::Slack(const TrackedJob& aJob,
                     const TaskUnit& aUnit,
                     bool aIsLocal) const
{
  const JobStep& step = aJob.StepOf(aUnit);
  const auto slowdown = Milliseconds(
    static_cast<std::int64_t>(this->Slowdown(step, aIsLocal) *
                              static_cast<double>(step.Estimate().count())));
  return JobObjective(aJob.Job()).LatestStart(aUnit.Step()) - slowdown -
         this->Waited(aJob, aUnit) - kUsualOverhead;
}

bool
DomainReclaim::IsReclaimDue(const TrackedJob& aJob, const TaskUnit& aUnit) const
{
  const DomainTiming& timing = this->domain->Timing();
  const Clock::duration waited = this->now - aJob.FirstSeen();
  const bool isDue =
    waited >= timing.ReclaimTime() - timing.StopTime() - kReclaimOverhead;
  // A gang may have begun in part only, so what began counts after that time.
  const bool hasBegun = aUnit.EverStarted() && waited >= timing.ReclaimTime();
  return isDue && !hasBegun && aJob.StepOf(aUnit).After().empty() &&
         GuaranteeUse(*this->domain).IsWithinGuarantee(aJob.Job().Team());
}

/** Only jobs of priority 0 have runs stopped: while little work is lost by it
 * and the job can be in time, and whatever is lost when a guaranteed job would
 * otherwise miss its reclaim time. */
std::optional<StopLimits>
DomainReclaim::LimitsFor(const TrackedJob& aJob,
                         const TaskUnit& aUnit,
                         bool aIsLocal) const
{
  constexpr double kNoLimit = std::numeric_limits<double>::infinity();
  if (this->IsReclaimDue(aJob, aUnit)) {
    return StopLimits{ kNoLimit, Milliseconds(0) };
  }
  const JobStep& step = aJob.StepOf(aUnit);
  const double affordable =
    this->maxPreemptionWaste * OwnWork(step, aUnit.Count());
  if (step.IsEndless()) {
    return StopLimits{ affordable, Milliseconds(0) };
  }
  const Milliseconds stopTime = this->domain->Timing().StopTime();
  const Milliseconds slack = this->Slack(aJob, aUnit, aIsLocal);
  if (slack < stopTime) {
    return std::nullopt;
  }
  return StopLimits{ affordable, kMaxAwaited };
}

std::vector<PreemptibleRun>
DomainReclaim::RunsFor(const TrackedJob& aJob,
                       std::vector<UnitRef>& aUnits) const
{
  std::vector<PreemptibleRun> runs;
  for (const JobKey& key : this->domain->Active()) {
    const TrackedJob& job = *this->domain->FindJob(key);
    const bool isStoppable = job.Job().Priority() > aJob.Job().Priority();
    for (const auto& [number, unit] : job.OpenUnits()) {
      if (unit.Idle()) {
        continue;
      }
      PreemptibleRun run = this->PreemptibleRunOf(job, unit);
      run.isStoppable = isStoppable;
      if (isStoppable || run.timeLeft <= kMaxAwaited) {
        runs.push_back(std::move(run));
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
  Instant observedUntil = this->now;
  for (const MemberRun& member : aUnit.Members()) {
    if (member.phase != MemberPhase::kGone) {
      run.resources.emplace_back(member.worker, step.Need());
      const TrackedWorker* worker = this->domain->FindWorker(member.worker);
      observedUntil = worker == nullptr
                        ? Instant()
                        : std::min(observedUntil, worker->LastReport());
    }
  }
  run.timeLeft = isEnding ? Milliseconds(0)
                          : ExpectedTimeLeft(aUnit, observedUntil, this->now)
                              .value_or(Milliseconds::max());
  return run;
}

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
  const JobStep& step = aJob.StepOf(aUnit);
  std::vector<UnitRef> units;
  std::vector<PreemptibleRun> runs;
  std::optional<StopChoice> best;
  double leastCost = 0.0;
  for (const bool isLocal : { true, false }) {
    const std::optional<StopLimits> limits =
      this->LimitsFor(aJob, aUnit, isLocal);
    if (!limits) {
      continue;
    }
    if (runs.empty()) {
      runs = this->RunsFor(aJob, units);
    }
    auto choice =
      ChooseStops(this->view->CandidatesFor(aJob, aUnit, aRef),
                  runs,
                  MakePlacementRequest(step, aUnit.Count(), isLocal),
                  *limits);
    if (!choice) {
      continue;
    }
    // Tasks that run longer take that much more of the fleet.
    const double cost = choice->lostWork + this->Slowdown(step, isLocal) *
                                             OwnWork(step, aUnit.Count());
    if (!best || cost < leastCost) {
      best = std::move(choice);
      leastCost = cost;
    }
    if (this->Slack(aJob, aUnit, isLocal) >= Milliseconds(0)) {
      break;
    }
  }
  if (best) {
    this->Apply(*best, aJob, aRef, step, units, runs);
  }
}

void
DomainReclaim::Apply(const StopChoice& aChoice,
                     const TrackedJob& aJob,
                     const UnitRef& aRef,
                     const JobStep& aStep,
                     const std::vector<UnitRef>& aUnits,
                     const std::vector<PreemptibleRun>& aRuns)
{
  for (const std::size_t position : aChoice.stopped) {
    this->Preempt(aUnits[position], aRef, aRuns[position].lostWork);
  }
  if (aChoice.places.empty()) {
    return;
  }
  const Milliseconds awaited = aChoice.wait + kForecastMargin;
  this->reservations->Reserve(
    aRef,
    aChoice.places,
    aStep.Need(),
    this->now + (aChoice.stopped.empty() ? awaited : kReservationTime));
  // Later units of this pass must not count on the same resources.
  for (const WorkerName& place : aChoice.places) {
    this->view->RecordAllocation(aJob.Job().Service(), place);
  }
}

}
