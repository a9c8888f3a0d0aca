#include "zones/tracked_worker.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace {

/** A worker's clock may run this much slower than ours, by the platform's
 * description. */
constexpr double kSlowestClock = 0.98;
/** Covers the rounding of the worker's clock and the call that sampled it. */
constexpr Milliseconds kLapseMargin{ 150 };
/** Failures in a row, of different jobs, after which a worker is in doubt. */
constexpr std::int32_t kDoubtfulFailures = 2;
/** Time without a new failure that restores a worker's standing. It covers the
 * usual length of a run, so that a worker that fails at once stays in doubt. */
constexpr Milliseconds kDoubtTime{ 10'000 };

/** The holder looks again within 300 ms of an answer, unless it stood still. */
constexpr Milliseconds kFreshAnswer{ 1000 };
/** A worker that was seen to be slow is in doubt for so long. */
constexpr Milliseconds kSlowTime{ 3000 };

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
  } else if (!this->leavingSince) {
    this->leavingSince = aNow;
  }
  this->listing = std::move(aListing);
  this->listed = true;
}

bool
TrackedWorker::RecordAnswer(std::int64_t aIncarnation,
                            std::int64_t aClockMs,
                            Instant aReceived)
{
  const bool isReborn = this->reached && aIncarnation != this->incarnation;
  if (isReborn || !this->reached) {
    this->lastEnd = 0;
    this->acknowledged = 0;
    this->awaited.clear();
    this->grantedUntilMs = 0;
    this->clockMs = 0;
  }
  this->incarnation = aIncarnation;
  this->reached = true;
  this->isReplaced = false;
  this->isIncarnationConfirmed = true;
  // Answers may overtake each other; the clock only moves on.
  if (aClockMs >= this->clockMs) {
    this->clockMs = aClockMs;
    this->lastReport = aReceived;
  }
  return isReborn;
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

bool
TrackedWorker::IsLeaseExpired(Instant aNow) const
{
  const auto left = static_cast<double>(this->grantedUntilMs - this->clockMs);
  const auto most =
    Milliseconds(static_cast<std::int64_t>(left / kSlowestClock) + 1);
  return this->isReplaced ||
         (this->reached && aNow > this->lastReport + most + kLapseMargin);
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
  return this->listing.Capacity().Minus(this->used).Minus(this->orphans);
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
TrackedWorker::AwaitStored(std::int64_t aNumber,
                           JobKey aJob,
                           std::int64_t aVersion)
{
  this->awaited.push_back(UnstoredEnd{ aNumber, std::move(aJob), aVersion });
}

std::int64_t
TrackedWorker::Acknowledged(Instant aNow) const
{
  const bool isFresh = aNow <= this->lastReport + kFreshAnswer;
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
  // One job that always fails says nothing of the worker.
  if (aJob != this->lastFailedJob) {
    ++this->failuresInRow;
  }
  this->lastFailedJob = aJob;
  this->lastFailure = aNow;
}

std::int32_t
TrackedWorker::Penalty(Instant aNow) const
{
  const bool isSlow = this->slowSeen && aNow < *this->slowSeen + kSlowTime;
  const bool isRecent = aNow < this->lastFailure + kDoubtTime;
  const bool isFailing = isRecent && this->failuresInRow >= kDoubtfulFailures;
  return (isFailing ? this->failuresInRow : 0) + (isSlow ? 1 : 0);
}

}
