#include "zones/tracked_worker.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace {

/** Slowest rate of a worker's clock relative to the holder's, as the platform's
 * description specifies it. */
constexpr double kSlowestClock = 0.98;
/** Covers the rounding of the worker's clock and the duration of the call that
 * sampled it. */
constexpr Milliseconds kLeaseMargin{ 150 };
/** Consecutive failures of different jobs after which a worker is penalised. */
constexpr std::int32_t kMinPenalisedFailures = 2;
/** Time without a new failure after which the penalty ends. It exceeds the
 * typical length of a run, so that a worker whose runs fail at once stays
 * penalised. */
constexpr Milliseconds kFailurePenaltyTime{ 10'000 };

/** The holder polls again within 300 ms of an answer, so an older report means
 * that the holder was stalled. */
constexpr Milliseconds kMaxAcknowledgeAge{ 1000 };
/** Time without starts after a refused one. It doubles with each further
 * refusal, up to the maximum, so that an unhealthy worker is not called in
 * every pass and a recovered one is used again soon. */
constexpr Milliseconds kMinStartPause{ 100 };
constexpr Milliseconds kMaxStartPause{ 1000 };
/** Time for which a worker with a slow run is penalised. */
constexpr Milliseconds kSlowPenaltyTime{ 3000 };

}

TrackedWorker::TrackedWorker(WorkerListing aListing)
  : listing(std::move(aListing))
{
}

void
TrackedWorker::List(WorkerListing aListing, Instant aNow)
{
  if (!aListing.IsLeaving()) {
    this->leavingSince.reset();
    this->staysUntil.reset();
  } else if (!this->leavingSince) {
    this->leavingSince = aNow;
    if (aListing.TimeLeft()) {
      this->staysUntil = aNow + *aListing.TimeLeft();
    }
  }
  this->coldUntil = aNow + aListing.ColdLeft();
  this->listing = std::move(aListing);
  this->listed = true;
}

bool
TrackedWorker::RecordAnswer(std::int64_t aIncarnation,
                            std::int64_t aClockMs,
                            Instant aReceived)
{
  const bool isRestarted =
    this->hasAnswered && aIncarnation != this->incarnation;
  if (isRestarted || !this->hasAnswered) {
    this->lastEnd = 0;
    this->acknowledged = 0;
    this->unstoredEnds.clear();
    this->grantedUntilMs = 0;
    this->lateUntilMs = 0;
    this->clockMs = 0;
  }
  this->incarnation = aIncarnation;
  this->hasAnswered = true;
  this->hasRestarted = this->hasRestarted || isRestarted;
  this->isReplaced = false;
  this->isIncarnationConfirmed = true;
  this->isPollFailed = false;
  // Answers may arrive out of order; the clock only moves forward.
  if (aClockMs >= this->clockMs) {
    this->clockMs = aClockMs;
    this->lastReport = aReceived;
  }
  return isRestarted;
}

std::int64_t
TrackedWorker::ClockAt(Instant aNow) const
{
  const auto age =
    std::chrono::duration_cast<Milliseconds>(aNow - this->lastReport);
  return this->clockMs + age.count();
}

void
TrackedWorker::RecordLease(std::int64_t aUntilMs)
{
  this->grantedUntilMs = std::max(this->grantedUntilMs, aUntilMs);
}

void
TrackedWorker::RecordLateLease(std::int64_t aUntilMs)
{
  this->lateUntilMs = std::max(this->lateUntilMs, aUntilMs);
}

Milliseconds
TrackedWorker::LeaseLeft(Instant aNow) const
{
  const std::int64_t untilMs =
    this->fence.MayBeLate() ? std::max(this->grantedUntilMs, this->lateUntilMs)
                            : this->grantedUntilMs;
  const auto left = static_cast<double>(untilMs - this->clockMs);
  const auto maxTimeLeft =
    Milliseconds(static_cast<std::int64_t>(left / kSlowestClock) + 1);
  return std::chrono::duration_cast<Milliseconds>(
    this->lastReport + maxTimeLeft + kLeaseMargin - aNow);
}

bool
TrackedWorker::IsLeaseExpired(Instant aNow) const
{
  return this->isReplaced ||
         (this->hasAnswered && this->LeaseLeft(aNow) < Milliseconds(0));
}

void
TrackedWorker::Add(const TaskAddress& aTask, const Resources& aNeed)
{
  if (this->tasks.insert(aTask).second) {
    this->used = this->used.Plus(aNeed);
  }
}

void
TrackedWorker::Remove(const TaskAddress& aTask, const Resources& aNeed)
{
  if (this->tasks.erase(aTask) > 0) {
    this->used = this->used.Minus(aNeed);
  }
}

std::int32_t
TrackedWorker::CountOf(const TaskAddress& aAnyOfStep) const
{
  const auto count = std::count_if(
    this->tasks.begin(), this->tasks.end(), [&](const TaskAddress& aTask) {
      return aTask.Job() == aAnyOfStep.Job() &&
             aTask.Occurrence() == aAnyOfStep.Occurrence() &&
             aTask.Step() == aAnyOfStep.Step();
    });
  return static_cast<std::int32_t>(count);
}

Resources
TrackedWorker::Free() const
{
  return this->listing.Capacity()
    .Minus(this->used)
    .Minus(this->strayUsage.known);
}

bool
TrackedWorker::NoteEnd(std::int64_t aNumber)
{
  if (aNumber <= this->lastEnd) {
    return false;
  }
  this->lastEnd = aNumber;
  return true;
}

void
TrackedWorker::AddUnstoredEnd(std::int64_t aNumber,
                              JobKey aJob,
                              std::int64_t aVersion)
{
  this->unstoredEnds.push_back(
    UnstoredEnd{ aNumber, std::move(aJob), aVersion });
}

std::int64_t
TrackedWorker::Acknowledged(Instant aNow) const
{
  const bool isFresh = aNow <= this->lastReport + kMaxAcknowledgeAge;
  return this->isIncarnationConfirmed && isFresh ? this->acknowledged : 0;
}

void
TrackedWorker::NoteSuccess()
{
  this->failuresInRow = 0;
  this->lastFailedJob = JobKey();
}

void
TrackedWorker::NoteFailure(const JobKey& aJob, Instant aNow)
{
  // Repeated failures of one job may be its own fault, so they count once.
  if (aJob != this->lastFailedJob) {
    ++this->failuresInRow;
  }
  this->lastFailedJob = aJob;
  this->lastFailure = aNow;
}

void
TrackedWorker::NoteRefusedStart(Instant aNow)
{
  // Starts that were sent together are refused together, which counts once.
  if (this->IsRefusingStarts(aNow)) {
    return;
  }
  this->startPause =
    std::clamp(this->startPause * 2, kMinStartPause, kMaxStartPause);
  this->nextStart = aNow + this->startPause;
}

void
TrackedWorker::NoteAcceptedStart()
{
  this->startPause = Milliseconds(0);
  this->nextStart = Instant();
}

std::int32_t
TrackedWorker::Penalty(Instant aNow) const
{
  const bool isSlow =
    this->slowSeen && aNow < *this->slowSeen + kSlowPenaltyTime;
  const bool isRecent = aNow < this->lastFailure + kFailurePenaltyTime;
  const bool isFailing =
    isRecent && this->failuresInRow >= kMinPenalisedFailures;
  return (isFailing ? this->failuresInRow : 0) + (isSlow ? 1 : 0);
}

}
