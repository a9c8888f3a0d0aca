#include "zones/fairness/waiting_order.h"

#include "zones/domain_state.h"
#include "zones/fairness/service_history.h"
#include "zones/stops/job_objective.h"
#include "zones/work_size.h"

#include <algorithm>

namespace sardinecourse {

namespace {

/** Callers count on nothing from a job after this many times its objective. */
constexpr std::int64_t kGivenUpFactor = 3;

bool
IsJudged(const TrackedJob& aJob)
{
  const JobPlan& plan = aJob.Job().Plan();
  // Callers of the others don't wait for an end.
  return !plan.IsTimed() &&
         std::none_of(plan.Steps().begin(),
                      plan.Steps().end(),
                      [](const JobStep& aStep) { return aStep.IsEndless(); });
}

Clock::duration
WaitedOf(const TrackedJob& aJob, Instant aNow)
{
  return aNow - aJob.FirstSeen();
}

/** A caller whose estimate is too low is not late by it. */
JobObjective
ObjectiveOf(const DomainState& aDomain, const AdmittedJob& aJob)
{
  return JobObjective(
    aJob, aDomain.RunTimes().Typical(aJob.Queue()).value_or(Milliseconds(0)));
}

/** The history with the open jobs that are late already. */
ServiceHistory
HistoryWithLateJobs(const DomainState& aDomain, Instant aNow)
{
  ServiceHistory history = aDomain.Served();
  for (const JobKey& key : aDomain.Active()) {
    const TrackedJob& tracked = aDomain.Jobs().at(key);
    const AdmittedJob& job = tracked.Job();
    if (!tracked.Final() && IsJudged(tracked) &&
        WaitedOf(tracked, aNow) > ObjectiveOf(aDomain, job).Time()) {
      history.Add(job.Priority(),
                  job.Team(),
                  job.DataCentre(),
                  WorkOf(job.Plan()),
                  false,
                  aNow);
    }
  }
  return history;
}

}

WaitingOrder::WaitingOrder(const DomainState& aDomain, Instant aNow)
  : now(aNow)
  , guarantees(aDomain)
  , shares(HistoryWithLateJobs(aDomain, aNow))
{
  for (const JobKey& key : aDomain.Active()) {
    const AdmittedJob& job = aDomain.Jobs().at(key).Job();
    LowestShares& low = this->lowest[job.Priority()];
    low.team = std::min(low.team, this->TeamShare(job));
    low.dataCentre = std::min(low.dataCentre, this->DataCentreShare(job));
  }
}

double
WaitingOrder::TeamShare(const AdmittedJob& aJob) const
{
  return this->shares.TeamShare(aJob.Priority(), aJob.Team());
}

double
WaitingOrder::DataCentreShare(const AdmittedJob& aJob) const
{
  return this->shares.DataCentreShare(aJob.Priority(), aJob.DataCentre());
}

bool
WaitingOrder::IsBeyondGuarantee(const TrackedJob& aJob) const
{
  return aJob.Job().Priority() == 0 &&
         !this->guarantees.IsWithinGuarantee(aJob.Job().Team());
}

WallTime
WaitingOrder::PositionOf(const TrackedJob& aJob) const
{
  const AdmittedJob& job = aJob.Job();
  if (!IsJudged(aJob)) {
    return job.Admitted();
  }
  const JobObjective objective(job);
  const Milliseconds time = std::max(objective.Time(), Milliseconds(0));
  const LowestShares& low = this->lowest.at(job.Priority());
  const double advantage = this->TeamShare(job) - low.team +
                           this->DataCentreShare(job) - low.dataCentre;
  auto delay = Milliseconds(
    static_cast<std::int64_t>(advantage * static_cast<double>(time.count())));
  // The others can still be of use to their callers.
  if (WaitedOf(aJob, this->now) + objective.ShortestTime() >
      kGivenUpFactor * time) {
    delay += kGivenUpFactor * time;
  }
  return job.Admitted() + delay;
}

void
NoteServed(DomainState& aDomain, const TrackedJob& aJob, Instant aNow)
{
  const AdmittedJob& job = aJob.Job();
  if (aJob.State() == JobState::kCancelled || !IsJudged(aJob)) {
    return;
  }
  aDomain.Served().Add(job.Priority(),
                       job.Team(),
                       job.DataCentre(),
                       WorkOf(job.Plan()),
                       aJob.FinalSince() - aJob.FirstSeen() <=
                         ObjectiveOf(aDomain, job).Time(),
                       aNow);
}

}
