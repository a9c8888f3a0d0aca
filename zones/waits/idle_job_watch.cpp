#include "zones/waits/idle_job_watch.h"

#include "zones/domain_state.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace {

constexpr Milliseconds kInterval{ 500 };
/** Shorter waits are usual around a stop or a change of the holder. */
constexpr Milliseconds kMinLoggedWait{ 3000 };

/** The others are logged at the next observations. */
constexpr std::size_t kMaxLogged = 20;

bool
IsAnswering(const DomainState& aDomain, const WorkerName& aWorker)
{
  const auto found = aDomain.Workers().find(aWorker);
  return found != aDomain.Workers().end() && found->second.IsAnswering();
}

/** What keeps a member from counting as gone; empty when it runs. */
std::optional<WaitCause>
CauseOf(const DomainState& aDomain,
        const TaskUnit& aUnit,
        const MemberRun& aMember,
        Instant aNow)
{
  WaitCause cause;
  cause.worker = aMember.worker;
  if (!IsAnswering(aDomain, aMember.worker)) {
    cause.reason = WaitReason::kWorkerLease;
    cause.until = aDomain.LeaseBoundOf(aMember.worker, aNow);
  } else if (aMember.phase == MemberPhase::kUncertain) {
    cause.reason = WaitReason::kStartUnanswered;
  } else if (aUnit.Abandoned() || aUnit.Done() || aMember.stopSentAt) {
    cause.reason = WaitReason::kStopping;
  } else if (aMember.phase == MemberPhase::kOrdered) {
    cause.reason = WaitReason::kStartOrdered;
  } else {
    return std::nullopt;
  }
  return cause;
}

std::int64_t
CountFitting(const DomainState& aDomain, const TrackedJob& aJob)
{
  std::int64_t fitting = 0;
  if (!aJob.Wait()) {
    return fitting;
  }
  for (const auto& [name, worker] : aDomain.Workers()) {
    const bool isUsable = worker.Listed() && !worker.Listing().IsLeaving() &&
                          !worker.IsReplaced() &&
                          worker.IsIncarnationConfirmed() &&
                          worker.Listing().Service() == aJob.Job().Service();
    fitting += isUsable ? worker.Free().CountFitting(aJob.Wait()->need) : 0;
  }
  return fitting;
}

bool
IsMoreLasting(const WaitCause& aLeft, const WaitCause& aRight)
{
  const auto untilOf = [](const WaitCause& aCause) {
    return aCause.until.value_or(Instant());
  };
  return aLeft.reason != aRight.reason ? aLeft.reason < aRight.reason
                                       : untilOf(aLeft) > untilOf(aRight);
}

}

std::optional<WaitCause>
FindWaitCause(const DomainState& aDomain, const TrackedJob& aJob, Instant aNow)
{
  std::optional<WaitCause> worst;
  for (const auto& [number, unit] : aJob.OpenUnits()) {
    std::optional<WaitCause> ofUnit;
    bool isRunning = false;
    for (const MemberRun& member : unit.Members()) {
      if (member.phase == MemberPhase::kGone) {
        continue;
      }
      const auto cause = CauseOf(aDomain, unit, member, aNow);
      isRunning = isRunning || !cause;
      if (cause && (!ofUnit || IsMoreLasting(*cause, *ofUnit))) {
        ofUnit = cause;
      }
    }
    if (isRunning && !ofUnit) {
      return std::nullopt;
    }
    if (ofUnit && (!worst || IsMoreLasting(*ofUnit, *worst))) {
      worst = ofUnit;
    }
  }
  return worst ? worst : aJob.Wait();
}

std::vector<IdleJob>
IdleJobWatch::Observe(const DomainState& aDomain, Instant aNow)
{
  std::vector<IdleJob> changed;
  if (aNow < this->lastObserved + kInterval) {
    return changed;
  }
  this->lastObserved = aNow;
  this->counts.clear();
  this->longest = Milliseconds(0);
  std::map<JobKey, Wait> next;
  for (const JobKey& key : aDomain.Active()) {
    const TrackedJob& job = aDomain.Jobs().at(key);
    const auto cause =
      job.Final() ? std::nullopt : FindWaitCause(aDomain, job, aNow);
    if (!cause) {
      continue;
    }
    const auto known = this->waits.find(key);
    Wait wait = known == this->waits.end()
                  ? Wait{ aNow, std::nullopt, Instant() }
                  : known->second;
    const auto idle =
      std::chrono::duration_cast<Milliseconds>(aNow - wait.since);
    ++this->counts[cause->reason];
    this->longest = std::max(this->longest, idle);
    const bool isDue = idle >= kMinLoggedWait && wait.logged != cause->reason &&
                       aNow >= wait.loggedAt + kMinLoggedWait;
    if (isDue && changed.size() < kMaxLogged) {
      wait.logged = cause->reason;
      wait.loggedAt = aNow;
      changed.push_back(IdleJob{
        key, job.Job().Priority(), idle, *cause, CountFitting(aDomain, job) });
    }
    next.emplace(key, wait);
  }
  this->waits = std::move(next);
  return changed;
}

}
